package io.pathdeck.consensus;

/** A snapshot received from the leader, to be stored and restored. */
public record SnapshotInstall(SnapshotMetadata metadata, byte[] content) {}
