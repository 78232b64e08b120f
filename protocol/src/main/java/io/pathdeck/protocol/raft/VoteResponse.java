package io.pathdeck.protocol.raft;

/** Answers a {@link VoteRequest}. */
public record VoteResponse(RaftHeader header, boolean preVote, boolean granted)
    implements RaftMessage {}
