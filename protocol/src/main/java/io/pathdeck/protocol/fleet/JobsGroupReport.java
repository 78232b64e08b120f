package io.pathdeck.protocol.fleet;

import io.pathdeck.protocol.raft.GroupConfiguration;

/** What the leader of a jobs group says of it. */
public record JobsGroupReport(int group, long term, GroupConfiguration configuration) {}
