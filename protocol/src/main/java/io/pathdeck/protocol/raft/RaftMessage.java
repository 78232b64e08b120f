package io.pathdeck.protocol.raft;

/** A message between two replicas of a group. */
public sealed interface RaftMessage
    permits AppendRequest,
        AppendResponse,
        JoinRequest,
        SnapshotChunk,
        SnapshotChunkResponse,
        TimeoutNow,
        VoteRequest,
        VoteResponse {
  /** Sender, receiver and term. */
  RaftHeader header();
}
