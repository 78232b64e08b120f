package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.command.CommandResult;

/** The stored answer of a command in a snapshot. */
public record DedupRecord(
    String clientId, long requestId, long expiresAtMs, CommandResult result) {}
