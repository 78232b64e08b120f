package io.pathdeck.protocol.model;

/** The result of one item; the line is what the caller reads in the output file. */
public record ItemResult(
    String jobId, int index, long leaseId, boolean success, byte[] line, int tokens) {}
