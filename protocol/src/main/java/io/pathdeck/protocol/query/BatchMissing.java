package io.pathdeck.protocol.query;

/** There is no such batch job, or no such item that waits. */
public record BatchMissing() implements QueryResult {}
