package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.JobSpec;

/** Accepts a job; a job id already present is answered with the existing job. */
public record SubmitJob(JobSpec spec) implements JobsCommand {}
