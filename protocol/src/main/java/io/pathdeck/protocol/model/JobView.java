package io.pathdeck.protocol.model;

/** A batch job and its progress. */
public record JobView(
    JobSpec spec,
    JobStatus status,
    int total,
    int succeeded,
    int failed,
    int leased,
    long createdAtMs,
    long finishedAtMs) {}
