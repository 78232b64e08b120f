package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.TimeoutNow;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** What a replica does while it leads, and which members it is to remove. */
final class Leadership {
  /** What a leader has to do when its timers were asked. */
  enum LeaderAction {
    CONTINUE,
    TRANSFER_LEADERSHIP,
    STEP_DOWN
  }

  private final ReplicaState state;
  private final MembershipPolicy policy;
  private Set<Integer> leaving = Set.of();

  /** What was sent until then does not renew the lease, however late it is acknowledged. */
  private long leaseInvalidatedAtMs = Long.MIN_VALUE;

  /** Not null exactly while the replica leads. */
  private Replicator replicator;

  Leadership(ReplicaState state, MembershipPolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /** Begins a term as leader: an entry of its own commits what earlier leaders left. */
  void begin(long nowMs) {
    replicator = new Replicator(state, policy, nowMs);
    replicator.setLeaving(leaving);
    replicator.append(new LogEntry(state.log.lastIndex() + 1, state.term, null, null), nowMs);
    replicator.broadcastHeartbeat(nowMs);
  }

  void end() {
    replicator = null;
  }

  /** The replication of the term that this replica leads. */
  Replicator replicator() {
    return replicator;
  }

  /** Names the members that are to leave. */
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

  /** Tells the voter that is closest to the log to campaign; returns whether there is one. */
  boolean sendTimeoutNow(long nowMs) {
    Optional<Member> successor = replicator.transferTarget(nowMs);
    successor.ifPresent(
        member ->
            state.messages.add(new TimeoutNow(state.header(member.id(), member.incarnation()))));
    return successor.isPresent();
  }

  /** The index up to which a read must see, while the lease of this leader holds. */
  OptionalLong readIndex(long nowMs) {
    boolean ownTermCommitted = state.log.term(state.commitIndex) == state.term;
    long acknowledgedMs = nowMs - replicator.quorumSilenceMs(nowMs);
    boolean recent = nowMs - acknowledgedMs < state.settings.leaseMs();
    boolean leased = recent && acknowledgedMs > leaseInvalidatedAtMs;
    return ownTermCommitted && leased ? OptionalLong.of(state.commitIndex) : OptionalLong.empty();
  }

  /**
   * More time may have passed than the clock shows. Another member may lead by now, so no read is
   * answered until a quorum acknowledges something that is sent from now on.
   */
  void invalidateLease(long nowMs) {
    leaseInvalidatedAtMs = nowMs;
  }

  /** What to do once a heartbeat is due: a leader that is to leave, or hears no quorum, ends. */
  LeaderAction nextAction(long nowMs) {
    boolean enoughRemain = state.log.configuration().voterCount() > policy.minVoters();
    if (leaving.contains(state.id) && enoughRemain) {
      return LeaderAction.TRANSFER_LEADERSHIP;
    }
    boolean lost = replicator.quorumSilenceMs(nowMs) > state.settings.electionTimeoutMaxMs();
    return lost ? LeaderAction.STEP_DOWN : LeaderAction.CONTINUE;
  }

  void receive(RaftMessage message, long nowMs) {
    replicator.receive(message, nowMs);
  }
}
