package io.pathdeck.protocol.model;

/** An uploaded file. */
public record FileView(
    String fileId,
    String tenant,
    String filename,
    String purpose,
    long bytes,
    int lines,
    boolean sealed,
    long createdAtMs) {}
