package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.RouteTable;

/** Takes a configuration if its version is above the one held. */
public record PutRouteTable(RouteTable table) implements FleetCommand {}
