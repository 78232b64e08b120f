package io.pathdeck.protocol.raft;

/**
 * Asks for a vote, or with {@code preVote} whether one would be given.
 *
 * @param leadershipTransfer whether the leader of the term before has handed over to the sender, so
 *     that no lease of that leader stands in the way of the vote
 */
public record VoteRequest(
    RaftHeader header, boolean preVote, boolean leadershipTransfer, long lastIndex, long lastTerm)
    implements RaftMessage {}
