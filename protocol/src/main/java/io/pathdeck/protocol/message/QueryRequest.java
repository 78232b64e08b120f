package io.pathdeck.protocol.message;

import io.pathdeck.protocol.query.Query;

/** Asks a controller for a linearizable read. */
public record QueryRequest(int group, Query query) implements Message {}
