package io.pathdeck.protocol.raft;

/** A part of a snapshot for a replica that is behind the start of the log. */
public record SnapshotChunk(
    RaftHeader header,
    long snapshotIndex,
    long snapshotTerm,
    GroupConfiguration configuration,
    long offset,
    byte[] data,
    boolean last,
    long sentAtMs)
    implements RaftMessage {}
