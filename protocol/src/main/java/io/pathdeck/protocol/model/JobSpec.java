package io.pathdeck.protocol.model;

import java.util.Map;

/** A batch job as submitted; its items are the lines of the input file. */
public record JobSpec(
    String jobId,
    String tenant,
    String service,
    String endpoint,
    String fileId,
    boolean repeatable,
    long completionWindowMs,
    Map<String, String> metadata) {}
