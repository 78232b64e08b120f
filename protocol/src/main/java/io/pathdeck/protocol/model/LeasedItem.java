package io.pathdeck.protocol.model;

/** One item of a job, handed to a dispatcher under a lease. */
public record LeasedItem(
    String jobId, int index, String tenant, String endpoint, byte[] line, boolean repeatable) {}
