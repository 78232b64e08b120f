package io.pathdeck.protocol.query;

import io.pathdeck.protocol.fleet.RouteTable;

/** The configuration that is held; null before the first one. */
public record RouteTableResult(RouteTable table) implements QueryResult {}
