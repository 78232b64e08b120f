package io.pathdeck.protocol.command;

/** The batch job is kept. */
public record BatchAccepted(String jobId) implements CommandResult {}
