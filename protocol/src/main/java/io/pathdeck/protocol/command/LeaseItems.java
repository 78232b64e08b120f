package io.pathdeck.protocol.command;

/** Leases up to {@code maxItems} waiting items of a service; an empty tenant means any. */
public record LeaseItems(
    String dispatcherId, String service, String tenant, int maxItems, long leaseMs)
    implements JobsCommand {}
