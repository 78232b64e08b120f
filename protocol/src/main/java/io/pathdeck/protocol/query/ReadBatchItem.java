package io.pathdeck.protocol.query;

/** Reads the body of an item that has no result yet. */
public record ReadBatchItem(String jobId, String itemId) implements Query {}
