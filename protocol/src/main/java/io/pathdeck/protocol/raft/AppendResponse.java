package io.pathdeck.protocol.raft;

/**
 * Answers an {@link AppendRequest}: the synced match on success, else the last index that may
 * match.
 */
public record AppendResponse(RaftHeader header, boolean success, long matchIndex, long sentAtMs)
    implements RaftMessage {}
