package io.pathdeck.protocol.command;

/** Cancels a job and fences its leases; an empty tenant is an operator. */
public record CancelJob(String jobId, String tenant) implements JobsCommand {}
