package io.pathdeck.protocol.command;

/**
 * Discards the recorded events of an open item, which begins anew: no engine is left that can write
 * what follows them.
 */
public record DiscardBatchProgress(String jobId, String itemId) implements BatchCommand {}
