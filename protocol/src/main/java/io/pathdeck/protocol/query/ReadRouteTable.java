package io.pathdeck.protocol.query;

/** Reads the configuration that is held. */
public record ReadRouteTable() implements Query {}
