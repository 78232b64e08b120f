package io.pathdeck.protocol.query;

/** Reads result lines of a job from item {@code fromItem} on. */
public record ReadResults(String jobId, String tenant, boolean failures, int fromItem, int maxBytes)
    implements Query {}
