package io.pathdeck.protocol.fleet;

/** A service that takes a share of a route's requests in proportion to its weight. */
public record RouteTarget(String service, int weight) {}
