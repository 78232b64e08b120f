package io.pathdeck.protocol.message;

import io.pathdeck.protocol.query.QueryResult;

/** The result of a read. */
public record QueryReply(QueryResult result) implements Message {}
