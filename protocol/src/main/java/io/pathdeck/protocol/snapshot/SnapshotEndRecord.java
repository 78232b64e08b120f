package io.pathdeck.protocol.snapshot;

/** The last record of a snapshot file; a file without it is incomplete. */
public record SnapshotEndRecord(int records) {}
