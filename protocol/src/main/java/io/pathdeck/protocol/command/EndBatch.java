package io.pathdeck.protocol.command;

/** Ends a batch job; nothing of it needs to run any more. */
public record EndBatch(String jobId) implements BatchCommand {}
