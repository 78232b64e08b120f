package io.pathdeck.dispatch;

/** The key of a leased item within a dispatcher. */
public record ItemKey(int partition, long leaseId, String jobId, int index) {}
