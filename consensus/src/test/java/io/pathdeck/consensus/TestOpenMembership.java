package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Groups that form from seeds and admit and remove members. */
class TestOpenMembership {
  private static final Set<Integer> SEEDS = Set.of(1, 2, 3);
  private static final Set<Integer> NO_FOUNDERS = Set.of();

  private static InMemoryGroup groupWithLeader() {
    return InMemoryGroup.withLeader(SEEDS);
  }

  @Test
  void seedsFormOneGroup() {
    assertThat(groupWithLeader().voters()).isEqualTo(SEEDS);
  }

  @Test
  void singleSeedDoesNotFormGroup() {
    InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(1));
    group.start(1, 1, SEEDS, SEEDS);
    group.runFor(5_000);
    assertThat(group.leader()).isEmpty();
  }

  @Test
  void newMemberBecomesVoterWithinTwoSeconds() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, NO_FOUNDERS, SEEDS);
    group.runFor(2_000);
    assertThat(group.voters()).containsExactlyInAnyOrder(1, 2, 3, 4);
  }

  @Test
  void newMemberReplacesLostMember() {
    InMemoryGroup group = groupWithLeader();
    group.isolate(1);
    group.runFor(1_000);
    group.start(4, 4, NO_FOUNDERS, SEEDS);
    group.runFor(4_500);
    assertThat(group.voters()).containsExactlyInAnyOrder(2, 3, 4);
  }

  @Test
  void groupKeepsMinimumVoters() {
    InMemoryGroup group = groupWithLeader();
    group.isolate(1);
    group.runFor(20_000);
    assertThat(group.voters()).isEqualTo(SEEDS);
  }

  @Test
  void removedMemberRejoinsAfterReconnecting() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, NO_FOUNDERS, SEEDS);
    group.runFor(2_000);
    group.isolate(4);
    group.runFor(6_000);
    assertThat(group.voters()).isEqualTo(SEEDS);
    group.reconnect(4);
    group.runFor(4_000);
    assertThat(group.voters()).containsExactlyInAnyOrder(1, 2, 3, 4);
  }

  @Test
  void memberWithLostDiskRegainsVote() {
    InMemoryGroup group = groupWithLeader();
    assertThat(group.propose(new byte[] {1})).isTrue();
    group.runFor(500);
    int lost = group.leader().orElseThrow().leaderId() == 1 ? 2 : 1;
    group.start(lost, 77, NO_FOUNDERS, SEEDS);
    group.runFor(4_000);
    assertThat(group.voters()).isEqualTo(SEEDS);
    assertThat(
            group.leader().orElseThrow().committedConfiguration().orElseThrow().isVoter(lost, 77))
        .isTrue();
  }

  @Test
  void leavingLeaderIsRemoved() {
    InMemoryGroup group = groupWithLeader();
    group.start(4, 4, NO_FOUNDERS, SEEDS);
    group.runFor(2_000);
    int leaving = group.leader().orElseThrow().leaderId();
    for (int id = 1; id <= 4; id++) {
      group.replica(id).setLeaving(Set.of(leaving));
    }
    group.runFor(6_000);
    assertThat(group.voters()).hasSize(3).doesNotContain(leaving);
  }

  @Test
  void leavingMemberStaysAtMinimumVoters() {
    InMemoryGroup group = groupWithLeader();
    SEEDS.forEach(id -> group.replica(id).setLeaving(Set.of(1)));
    group.runFor(6_000);
    assertThat(group.voters()).isEqualTo(SEEDS);
  }
}
