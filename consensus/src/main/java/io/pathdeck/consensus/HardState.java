package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.HardStateRecord;

/** The vote of a replica in its present term; each change is recorded before it takes effect. */
final class HardState {
  private final ReplicaState state;
  private int votedFor;

  HardState(ReplicaState state, int votedFor) {
    this.state = state;
    this.votedFor = votedFor;
  }

  /** Begins a term with a vote for {@code candidate}, or with {@link RecoveredState#NO_REPLICA}. */
  void beginTerm(long term, int candidate) {
    state.term = term;
    voteFor(candidate);
  }

  /** Votes for {@code candidate} in the present term. */
  void voteFor(int candidate) {
    votedFor = candidate;
    state.records.add(new HardStateRecord(state.group, state.term, candidate));
  }

  /** Whether a vote for {@code candidate} contradicts none given in this term. */
  boolean canVoteFor(int candidate) {
    return votedFor == RecoveredState.NO_REPLICA || votedFor == candidate;
  }
}
