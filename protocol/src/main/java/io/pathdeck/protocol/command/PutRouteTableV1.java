package io.pathdeck.protocol.command;

import io.pathdeck.protocol.legacy.RouteTableV1;

/**
 * A {@link PutRouteTable} with an earlier form of the route table, from the log of older versions.
 */
public record PutRouteTableV1(RouteTableV1 table) implements FleetCommand {}
