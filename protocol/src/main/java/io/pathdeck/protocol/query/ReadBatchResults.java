package io.pathdeck.protocol.query;

/**
 * Reads results of a batch job.
 *
 * @param tenant who asks; the jobs of others do not exist for it
 * @param from the first position
 * @param maxBytes how much text is returned at most, beside the first result
 * @param waitMs how long to wait when there is no result yet
 */
public record ReadBatchResults(String jobId, String tenant, int from, int maxBytes, long waitMs)
    implements Query {}
