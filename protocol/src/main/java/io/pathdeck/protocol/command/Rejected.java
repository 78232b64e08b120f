package io.pathdeck.protocol.command;

/** The command cannot be applied; nothing was changed. */
public record Rejected(RejectionCode code, String message) implements CommandResult {}
