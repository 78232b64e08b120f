package io.pathdeck.protocol.command;

/** A command as it stands in the log, with what makes a resend recognisable. */
public record CommandEnvelope(
    String clientId, long requestId, long proposedAtMs, Command command) {}
