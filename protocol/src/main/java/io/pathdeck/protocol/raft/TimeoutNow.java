package io.pathdeck.protocol.raft;

/**
 * Tells a follower to campaign at once. The sender has led the term of the header and leads it no
 * longer.
 */
public record TimeoutNow(RaftHeader header) implements RaftMessage {}
