package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Groups that founders form, and that admit and remove members. */
class TestOpenMembership {
  private static final Set<Integer> FOUNDERS = Set.of(1, 2, 3);
  private static final Set<Integer> NO_FOUNDERS = Set.of();

  private static InMemoryGroup groupWithLeader() {
    return InMemoryGroup.withLeader(FOUNDERS);
  }

  @Test
  void foundersFormOneGroup() {
    assertThat(groupWithLeader().voters()).isEqualTo(FOUNDERS);
  }

  @Test
  void singleFounderDoesNotFormGroup() {
    InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(1));
    group.start(1, 1, FOUNDERS, FOUNDERS);
    group.runFor(5_000);
    assertThat(group.leader()).isEmpty();
  }

  @Test
  void newMemberBecomesVoterWithinTwoSeconds() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, NO_FOUNDERS, FOUNDERS);
    group.runFor(2_000);
    assertThat(group.voters()).containsExactlyInAnyOrder(1, 2, 3, 4);
  }

  @Test
  void newMemberReplacesLostMember() {
    InMemoryGroup group = groupWithLeader();
    group.isolate(1);
    group.runFor(1_000);
    group.start(4, 4, NO_FOUNDERS, FOUNDERS);
    group.runFor(4_500);
    assertThat(group.voters()).containsExactlyInAnyOrder(2, 3, 4);
  }

  @Test
  void groupKeepsMinimumVoters() {
    InMemoryGroup group = groupWithLeader();
    group.isolate(1);
    group.runFor(20_000);
    assertThat(group.voters()).isEqualTo(FOUNDERS);
  }

  @Test
  void removedMemberRejoinsAfterReconnecting() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, NO_FOUNDERS, FOUNDERS);
    group.runFor(2_000);
    group.isolate(4);
    group.runFor(6_000);
    assertThat(group.voters()).isEqualTo(FOUNDERS);
    group.reconnect(4);
    group.runFor(4_000);
    assertThat(group.voters()).containsExactlyInAnyOrder(1, 2, 3, 4);
  }

  @Test
  void memberWithLostDiskRegainsVote() {
    InMemoryGroup group = groupWithLeader();
    assertThat(group.propose(new byte[] {1})).isTrue();
    group.runFor(500);
    int lostId = group.leader().orElseThrow().leaderId() == 1 ? 2 : 1;
    group.start(lostId, 77, NO_FOUNDERS, FOUNDERS);
    group.runFor(4_000);
    assertThat(group.voters()).isEqualTo(FOUNDERS);
    assertThat(
            group
                .leader()
                .orElseThrow()
                .configurationIfCommitted()
                .orElseThrow()
                .isVoter(lostId, 77))
        .isTrue();
  }

  @Test
  void leavingLeaderIsRemoved() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, NO_FOUNDERS, FOUNDERS);
    group.runFor(2_000);
    int leavingId = group.leader().orElseThrow().leaderId();
    for (int id = 1; id <= 4; id++) {
      group.replica(id).setLeaving(Set.of(leavingId));
    }
    group.runFor(6_000);
    assertThat(group.voters()).hasSize(3).doesNotContain(leavingId);
  }

  @Test
  void leavingMemberStaysAtMinimumVoters() {
    InMemoryGroup group = groupWithLeader();
    FOUNDERS.forEach(id -> group.replica(id).setLeaving(Set.of(1)));
    group.runFor(6_000);
    assertThat(group.voters()).isEqualTo(FOUNDERS);
  }
}
