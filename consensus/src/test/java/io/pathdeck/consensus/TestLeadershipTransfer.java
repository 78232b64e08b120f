package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.TimeoutNow;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A leader that stops as planned transfers leadership, so that the group does not wait for an
 * election timeout.
 */
class TestLeadershipTransfer {
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3);

  /** A few message delays; far below the minimum election timeout of 600 ms. */
  private static final long TRANSFER_MS = 100;

  private static InMemoryGroup groupWithLeader() {
    return InMemoryGroup.withLeader(MEMBERS);
  }

  @Test
  void successorLeadsWithinFewMessages() {
    InMemoryGroup group = groupWithLeader();
    RaftReplica oldLeader = group.leader().orElseThrow();
    assertThat(oldLeader.transferLeadership(group.nowMs())).isTrue();
    group.runFor(2 * InMemoryGroup.STEP_MS);
    group.isolate(idOf(group, oldLeader));
    group.runFor(TRANSFER_MS);
    assertThat(group.leader()).isPresent().get().isNotSameAs(oldLeader);
    assertThat(group.propose(new byte[] {1})).isTrue();
  }

  private static int idOf(InMemoryGroup group, RaftReplica replica) {
    return MEMBERS.stream().filter(id -> group.replica(id) == replica).findFirst().orElseThrow();
  }

  @Test
  void newLeaderCommitsPendingEntries() {
    InMemoryGroup group = groupWithLeader();
    RaftReplica oldLeader = group.leader().orElseThrow();
    assertThat(group.propose(new byte[] {7})).isTrue();
    long index = oldLeader.lastIndex();
    assertThat(oldLeader.transferLeadership(group.nowMs())).isTrue();
    group.runFor(TRANSFER_MS);
    assertThat(group.leader().orElseThrow()).isNotSameAs(oldLeader);
    assertThat(group.leader().orElseThrow().commitIndex()).isGreaterThanOrEqualTo(index);
  }

  @Test
  void oldLeaderServesNothingAfterTransfer() {
    InMemoryGroup group = groupWithLeader();
    RaftReplica oldLeader = group.leader().orElseThrow();
    assertThat(oldLeader.readIndex(group.nowMs())).isPresent();
    oldLeader.transferLeadership(group.nowMs());
    assertThat(oldLeader.readIndex(group.nowMs())).isEmpty();
    assertThat(oldLeader.propose(new byte[] {1}, group.nowMs())).isEmpty();
  }

  @Test
  void transferFailsWithoutReachableSuccessor() {
    InMemoryGroup group = groupWithLeader();
    RaftReplica oldLeader = group.leader().orElseThrow();
    MEMBERS.stream().filter(id -> group.replica(id) != oldLeader).forEach(group::isolate);
    group.runFor(700);
    assertThat(oldLeader.transferLeadership(group.nowMs())).isFalse();
    assertThat(oldLeader.role()).isEqualTo(ReplicaRole.LEADER);
  }

  @Test
  void timeoutNowIsIgnoredUnlessFromCurrentLeader() {
    InMemoryGroup group = groupWithLeader();
    RaftReplica leader = group.leader().orElseThrow();
    int leaderId = idOf(group, leader);
    int followerId = MEMBERS.stream().filter(id -> id != leaderId).findFirst().orElseThrow();
    int otherFollowerId =
        MEMBERS.stream().filter(id -> id != leaderId && id != followerId).findFirst().get();
    long term = leader.term();
    RaftReplica target = group.replica(followerId);
    target.receive(timeoutNow(otherFollowerId, followerId, term), group.nowMs());
    target.receive(timeoutNow(leaderId, followerId, term - 1), group.nowMs());
    group.runFor(TRANSFER_MS);
    assertThat(group.leader().orElseThrow()).isSameAs(leader);
    assertThat(leader.term()).isEqualTo(term);
  }

  private static TimeoutNow timeoutNow(int from, int to, long term) {
    return new TimeoutNow(new RaftHeader(1, from, from, to, to, term));
  }

  @Test
  void leavingLeaderTransfersLeadership() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, Set.of(), MEMBERS);
    group.runFor(2_000);
    RaftReplica oldLeader = group.leader().orElseThrow();
    int leavingId = oldLeader.leaderId();
    for (int id = 1; id <= 4; id++) {
      group.replica(id).setLeaving(Set.of(leavingId));
    }
    group.runFor(2 * TRANSFER_MS);
    assertThat(group.leader()).isPresent().get().isNotSameAs(oldLeader);
  }
}
