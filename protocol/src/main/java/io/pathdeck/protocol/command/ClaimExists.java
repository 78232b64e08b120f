package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.ClaimState;

/** Somebody else claimed the request; a completed claim carries the answer. */
public record ClaimExists(
    ClaimState state, String fingerprint, int status, String contentType, byte[] body)
    implements CommandResult {}
