package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.command.ClaimExists;

/** A claim of a non-repeatable request in a snapshot. */
public record ClaimRecord(String claimKey, String owner, long expiresAtMs, ClaimExists claim) {}
