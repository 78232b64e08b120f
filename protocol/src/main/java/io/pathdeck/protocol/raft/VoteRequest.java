package io.pathdeck.protocol.raft;

/** Asks for a vote, or with {@code preVote} whether one would be given. */
public record VoteRequest(RaftHeader header, boolean preVote, long lastIndex, long lastTerm)
    implements RaftMessage {}
