package io.pathdeck.protocol.model;

/** How much batch work of a tenant waits and runs on a service. */
public record TenantBacklog(String tenant, String service, int waiting, int leased) {}
