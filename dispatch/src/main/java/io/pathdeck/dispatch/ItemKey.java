package io.pathdeck.dispatch;

/** Names a leased item within a dispatcher. */
public record ItemKey(int partition, long leaseId, String jobId, int index) {}
