package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.TimeoutNow;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** The leader role of a replica: its lease, its replicator and the members it has to remove. */
final class Leadership {
  /** What a leader does when a heartbeat is due. */
  enum LeaderAction {
    CONTINUE,
    TRANSFER_LEADERSHIP,
    STEP_DOWN
  }

  private final ReplicaState state;
  private final MembershipPolicy policy;
  private Set<Integer> leaving = Set.of();

  /** Acknowledgements of messages sent up to this time do not renew the lease. */
  private long leaseInvalidatedAtMs = Long.MIN_VALUE;

  /** Null while this replica does not lead. */
  private Replicator replicator;

  Leadership(ReplicaState state, MembershipPolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /**
   * Starts a term as leader. Appends an empty entry, since a leader commits entries of earlier
   * terms only together with one of its own term.
   */
  void begin(long nowMs) {
    replicator = new Replicator(state, policy, nowMs);
    replicator.setLeaving(leaving);
    replicator.append(new LogEntry(state.log.lastIndex() + 1, state.term, null, null), nowMs);
    replicator.broadcastHeartbeat(nowMs);
  }

  void end() {
    replicator = null;
  }

  /** The replicator of the current term; null while this replica does not lead. */
  Replicator replicator() {
    return replicator;
  }

  /** Sets the members to be removed. */
  void setLeaving(Set<Integer> ids) {
    leaving = Set.copyOf(ids);
    if (replicator != null) {
      replicator.setLeaving(leaving);
    }
  }

  boolean isLeaving(int id) {
    return leaving.contains(id);
  }

  /** The highest index known to be synced on another member; 0 while this replica does not lead. */
  long matchIndex(int memberId) {
    return replicator == null ? 0 : replicator.matchIndex(memberId);
  }

  /** Tells the most up-to-date voter to campaign; returns whether there is one. */
  boolean sendTimeoutNow(long nowMs) {
    Optional<Member> successor = replicator.transferTarget(nowMs);
    successor.ifPresent(
        member ->
            state.messages.add(new TimeoutNow(state.header(member.id(), member.incarnation()))));
    return successor.isPresent();
  }

  /**
   * The index that must be applied before a linearizable read is answered; empty while the lease is
   * invalid or no entry of the current term is committed.
   */
  OptionalLong readIndex(long nowMs) {
    boolean ownTermCommitted = state.log.term(state.commitIndex) == state.term;
    long acknowledgedMs = nowMs - replicator.quorumSilenceMs(nowMs);
    boolean recent = nowMs - acknowledgedMs < state.settings.leaseMs();
    boolean leaseValid = recent && acknowledgedMs > leaseInvalidatedAtMs;
    return ownTermCommitted && leaseValid
        ? OptionalLong.of(state.commitIndex)
        : OptionalLong.empty();
  }

  /**
   * Invalidates the lease. Another member may lead by now, so no read is answered until a quorum
   * acknowledges a message sent after {@code nowMs}.
   */
  void invalidateLease(long nowMs) {
    leaseInvalidatedAtMs = nowMs;
  }

  /**
   * The action to take when a heartbeat is due. A leader that is leaving or has lost its quorum
   * gives up leadership.
   */
  LeaderAction nextAction(long nowMs) {
    boolean enoughRemain = state.log.configuration().voterCount() > policy.minVoters();
    if (leaving.contains(state.id) && enoughRemain) {
      return LeaderAction.TRANSFER_LEADERSHIP;
    }
    boolean quorumLost = replicator.quorumSilenceMs(nowMs) > state.settings.electionTimeoutMaxMs();
    return quorumLost ? LeaderAction.STEP_DOWN : LeaderAction.CONTINUE;
  }

  void receive(RaftMessage message, long nowMs) {
    replicator.receive(message, nowMs);
  }
}
