package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;

/** The last log position that a snapshot covers, and the configuration at that position. */
public record SnapshotMetadata(long index, long term, GroupConfiguration configuration) {}
