package io.pathdeck.protocol.query;

/**
 * Reads the body of an item that has no result yet.
 *
 * @param tenant who asks; the jobs of others do not exist for it
 */
public record ReadBatchItem(String jobId, String tenant, String itemId) implements Query {}
