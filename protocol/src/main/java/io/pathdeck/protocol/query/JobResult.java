package io.pathdeck.protocol.query;

import io.pathdeck.protocol.model.JobView;

/** One job. */
public record JobResult(JobView job) implements QueryResult {}
