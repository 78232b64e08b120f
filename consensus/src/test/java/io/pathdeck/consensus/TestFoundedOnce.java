package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Members that lost their disks and are told the founders form no empty group in its place. */
class TestFoundedOnce {
  private static final Set<Integer> IDS = Set.of(1, 2, 3);
  private static final byte[] COMMAND = {7};
  private static final GroupConfiguration FOUNDERS =
      new GroupConfiguration(
          List.of(new Member(1, 1, true), new Member(2, 2, true), new Member(3, 3, true)));

  private final InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(1));

  private void startEmpty(int id, long incarnation) {
    group.start(id, incarnation, Set.of(), Set.of());
    group.replica(id).bootstrap(FOUNDERS, group.nowMs());
    group.replica(id).addContacts(IDS);
  }

  private void found() {
    IDS.forEach(id -> startEmpty(id, id));
    group.runFor(3_000);
    assertThat(group.propose(COMMAND)).isTrue();
    group.runFor(500);
  }

  @Test
  void twoOfThreeWipedAtOnceElectNoLeader() {
    found();
    startEmpty(1, 71);
    startEmpty(2, 72);
    group.runFor(20_000);
    assertThat(group.leader()).isEmpty();
    assertThat(group.replica(3).lastIndex()).isPositive();
  }

  @Test
  void allWipedAtOnceElectNoLeader() {
    found();
    IDS.forEach(id -> startEmpty(id, 70 + id));
    group.runFor(20_000);
    assertThat(group.leader()).isEmpty();
  }

  @Test
  void allWipedOneAfterTheOtherKeepEverything() {
    found();
    for (int id : IDS) {
      startEmpty(id, 70 + id);
      group.runFor(MembershipModel.CATCH_UP_MS);
    }
    assertThat(group.leader()).isPresent();
    assertThat(IDS).allMatch(id -> group.committedCommands(id).equals(List.of(COMMAND[0])));
  }
}
