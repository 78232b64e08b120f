package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;

/** The log position a snapshot stands for and the configuration at that position. */
public record SnapshotMetadata(long index, long term, GroupConfiguration configuration) {}
