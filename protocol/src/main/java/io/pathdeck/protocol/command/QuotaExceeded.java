package io.pathdeck.protocol.command;

/** The batch job was not taken: too many tokens wait on its route. */
public record QuotaExceeded(long queuedTokens, long maxQueuedTokens) implements CommandResult {}
