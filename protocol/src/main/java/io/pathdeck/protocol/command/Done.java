package io.pathdeck.protocol.command;

/** The command was applied and has nothing to report. */
public record Done() implements CommandResult {}
