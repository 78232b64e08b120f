package io.pathdeck.protocol.query;

import io.pathdeck.protocol.model.JobView;
import java.util.List;

/** Jobs, newest first. */
public record JobListResult(List<JobView> jobs, boolean hasMore) implements QueryResult {}
