package io.pathdeck.protocol.command;

/**
 * Ends a batch job; nothing of it needs to run any more.
 *
 * @param tenant who asks; the jobs of others do not exist for it
 */
public record EndBatch(String jobId, String tenant) implements BatchCommand {}
