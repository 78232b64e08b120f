package io.pathdeck.protocol.raft;

/** Answers a {@link SnapshotChunk} with the offset expected next. */
public record SnapshotChunkResponse(
    RaftHeader header, long snapshotIndex, long nextOffset, long sentAtMs) implements RaftMessage {}
