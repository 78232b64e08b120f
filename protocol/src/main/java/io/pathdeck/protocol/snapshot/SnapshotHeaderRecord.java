package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.raft.GroupConfiguration;

/** The first record of a snapshot file. */
public record SnapshotHeaderRecord(
    int group, long index, long term, GroupConfiguration configuration) {}
