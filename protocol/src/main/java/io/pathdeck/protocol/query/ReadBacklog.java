package io.pathdeck.protocol.query;

/** Reads the waiting work of a service by tenant. */
public record ReadBacklog(String service) implements Query {}
