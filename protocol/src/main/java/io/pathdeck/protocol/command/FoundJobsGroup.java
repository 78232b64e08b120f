package io.pathdeck.protocol.command;

import io.pathdeck.protocol.raft.GroupConfiguration;

/** Names the first members of the jobs group; only the first such command counts. */
public record FoundJobsGroup(GroupConfiguration configuration) implements FleetCommand {}
