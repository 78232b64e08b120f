package io.pathdeck.protocol.command;

/** The version that is held after a {@link PutRouteTable}. */
public record RouteTableHeld(long version) implements CommandResult {}
