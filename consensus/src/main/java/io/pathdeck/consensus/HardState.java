package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.HardStateRecord;

/**
 * The current term and vote of a replica. Each change is recorded, and becomes durable before
 * messages that depend on it are sent.
 */
final class HardState {
  private final ReplicaState state;
  private int votedFor;

  HardState(ReplicaState state, int votedFor) {
    this.state = state;
    this.votedFor = votedFor;
  }

  /**
   * Starts a term with a vote for {@code candidate}; {@link RecoveredState#NO_REPLICA} means no
   * vote.
   */
  void beginTerm(long term, int candidate) {
    state.term = term;
    voteFor(candidate);
  }

  /** Votes for {@code candidate} in the current term. */
  void voteFor(int candidate) {
    votedFor = candidate;
    state.records.add(new HardStateRecord(state.group, state.term, candidate));
  }

  /** Whether this replica's vote in the current term is unused or for {@code candidate}. */
  boolean canVoteFor(int candidate) {
    return votedFor == RecoveredState.NO_REPLICA || votedFor == candidate;
  }
}
