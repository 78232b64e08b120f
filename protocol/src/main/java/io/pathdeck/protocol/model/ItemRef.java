package io.pathdeck.protocol.model;

/** Names one item of a job. */
public record ItemRef(String jobId, int index) {}
