package io.pathdeck.protocol.query;

/** Reads one job; an empty tenant is an operator. */
public record ReadJob(String jobId, String tenant) implements Query {}
