package io.pathdeck.protocol.query;

/** Lists jobs, newest first; an empty tenant lists all. */
public record ListJobs(String tenant, String afterJobId, int limit) implements Query {}
