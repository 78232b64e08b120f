package io.pathdeck.protocol.query;

/** The body of an item. */
public record BatchItemBody(byte[] body) implements QueryResult {}
