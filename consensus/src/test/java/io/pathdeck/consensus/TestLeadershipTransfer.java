package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.TimeoutNow;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A leader that stops as planned hands over, so that the group need not wait for an election. */
class TestLeadershipTransfer {
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3);

  /** A few message delays; far below the shortest election timeout of 600 ms. */
  private static final long HANDOVER_MS = 100;

  private static MemoryGroup founded() {
    return MemoryGroup.founded(MEMBERS);
  }

  @Test
  void anotherMemberLeadsAfterAFewMessages() {
    MemoryGroup group = founded();
    RaftReplica before = group.leader().orElseThrow();
    assertThat(before.transferLeadership(group.nowMs())).isTrue();
    group.runFor(2 * MemoryGroup.STEP_MS);
    group.silence(idOf(group, before));
    group.runFor(HANDOVER_MS);
    assertThat(group.leader()).isPresent().get().isNotSameAs(before);
    assertThat(group.propose(new byte[] {1})).isTrue();
  }

  private static int idOf(MemoryGroup group, RaftReplica replica) {
    return MEMBERS.stream().filter(id -> group.replica(id) == replica).findFirst().orElseThrow();
  }

  @Test
  void whatTheOldLeaderWasGivenLastIsCommittedByTheNewOne() {
    MemoryGroup group = founded();
    RaftReplica before = group.leader().orElseThrow();
    assertThat(group.propose(new byte[] {7})).isTrue();
    long index = before.lastIndex();
    assertThat(before.transferLeadership(group.nowMs())).isTrue();
    group.runFor(HANDOVER_MS);
    assertThat(group.leader().orElseThrow()).isNotSameAs(before);
    assertThat(group.leader().orElseThrow().commitIndex()).isGreaterThanOrEqualTo(index);
  }

  @Test
  void oldLeaderAnswersNoReadOnceItHasHandedOver() {
    MemoryGroup group = founded();
    RaftReplica before = group.leader().orElseThrow();
    assertThat(before.readIndex(group.nowMs())).isPresent();
    before.transferLeadership(group.nowMs());
    assertThat(before.readIndex(group.nowMs())).isEmpty();
    assertThat(before.propose(new byte[] {1}, group.nowMs())).isEmpty();
  }

  @Test
  void withoutSuccessorNothingChanges() {
    MemoryGroup group = founded();
    RaftReplica before = group.leader().orElseThrow();
    MEMBERS.stream().filter(id -> group.replica(id) != before).forEach(group::silence);
    group.runFor(700);
    assertThat(before.transferLeadership(group.nowMs())).isFalse();
    assertThat(before.role()).isEqualTo(ReplicaRole.LEADER);
  }

  @Test
  void onlyTheLeaderOfTheSameTermCanMakeAFollowerCampaign() {
    MemoryGroup group = founded();
    RaftReplica leader = group.leader().orElseThrow();
    int leaderId = idOf(group, leader);
    int follower = MEMBERS.stream().filter(id -> id != leaderId).findFirst().orElseThrow();
    int other = MEMBERS.stream().filter(id -> id != leaderId && id != follower).findFirst().get();
    long term = leader.term();
    RaftReplica target = group.replica(follower);
    target.receive(handover(other, follower, term), group.nowMs());
    target.receive(handover(leaderId, follower, term - 1), group.nowMs());
    group.runFor(HANDOVER_MS);
    assertThat(group.leader().orElseThrow()).isSameAs(leader);
    assertThat(leader.term()).isEqualTo(term);
  }

  private static TimeoutNow handover(int from, int to, long term) {
    return new TimeoutNow(new RaftHeader(1, from, from, to, to, term));
  }

  @Test
  void leaderThatIsToLeaveHandsOverInsteadOfLettingAnElectionRun() {
    MemoryGroup group = founded();
    group.start(4, 4, Set.of(), MEMBERS);
    group.runFor(2_000);
    RaftReplica before = group.leader().orElseThrow();
    int leaving = before.leaderId();
    for (int id = 1; id <= 4; id++) {
      group.replica(id).setLeaving(Set.of(leaving));
    }
    group.runFor(2 * HANDOVER_MS);
    assertThat(group.leader()).isPresent().get().isNotSameAs(before);
  }
}
