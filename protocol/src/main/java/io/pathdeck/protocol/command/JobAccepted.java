package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.JobView;

/** The job as it stands after the command. */
public record JobAccepted(JobView job) implements CommandResult {}
