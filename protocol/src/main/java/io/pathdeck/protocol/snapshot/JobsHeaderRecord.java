package io.pathdeck.protocol.snapshot;

/** The logical clock and the lease counter in a snapshot of a jobs partition. */
public record JobsHeaderRecord(long clockMs, long nextLeaseId, long nextSweepMs) {}
