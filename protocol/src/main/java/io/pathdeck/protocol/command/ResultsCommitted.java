package io.pathdeck.protocol.command;

/** How many results were stored and how many came too late. */
public record ResultsCommitted(int stored, int ignored) implements CommandResult {}
