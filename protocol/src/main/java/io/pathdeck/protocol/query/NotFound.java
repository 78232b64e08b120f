package io.pathdeck.protocol.query;

/** No such object for this tenant. */
public record NotFound(String message) implements QueryResult {}
