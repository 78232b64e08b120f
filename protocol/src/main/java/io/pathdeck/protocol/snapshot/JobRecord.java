package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.model.JobView;

/** A job in a snapshot; its results follow. */
public record JobRecord(JobView view) {}
