package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which group a store is told to keep. */
class TestJobsGroupRegistry {
  private static final int TARGET = 3;
  private static final int NEWCOMER = 40;
  private static final long NOW_MS = 10_000;

  private final JobsGroupRegistry registry = new JobsGroupRegistry(TARGET);
  private final List<FleetProcess> alive = new ArrayList<>();
  private final List<JobsGroupFounders> founded = List.of(founders(1, 10), founders(2, 20));

  TestJobsGroupRegistry() {
    for (JobsGroupFounders group : founded) {
      for (Member member : group.configuration().members()) {
        alive.add(store(member.id(), group.group()));
      }
    }
  }

  private static FleetProcess store(int id, int group) {
    return new FleetProcess("s" + id, FleetRole.STORE, "z", id, 1, "h:" + id, "", true, group);
  }

  private static JobsGroupFounders founders(int group, int firstId) {
    return new JobsGroupFounders(group, configuration(firstId, firstId + 1, firstId + 2));
  }

  private static GroupConfiguration configuration(int... ids) {
    List<Member> members = new ArrayList<>();
    for (int id : ids) {
      members.add(new Member(id, 1, true, "h:" + id));
    }
    return new GroupConfiguration(members);
  }

  private void lose(int id) {
    alive.removeIf(store -> store.memberId() == id);
  }

  private int groupFor(int id, long nowMs) {
    FleetProcess asking = store(id, FleetProcess.NO_GROUP);
    if (!alive.contains(asking)) {
      alive.add(asking);
    }
    return registry.groupFor(asking, founded, alive, Set.of(), nowMs);
  }

  @Test
  void firstMemberIsToldItsGroup() {
    assertThat(groupFor(21, NOW_MS)).isEqualTo(2);
  }

  @Test
  void storeKeepsTheGroupThatItReports() {
    assertThat(registry.groupFor(store(NEWCOMER, 2), founded, alive, Set.of(), NOW_MS))
        .isEqualTo(2);
  }

  @Test
  void storeWhoseDiskWasLostReturnsToItsGroup() {
    registry.report(new JobsGroupReport(2, 5, configuration(20, 21, NEWCOMER)));
    lose(10);
    assertThat(groupFor(NEWCOMER, NOW_MS)).isEqualTo(2);
  }

  @Test
  void newStoreTakesThePlaceOfALostOneAtOnce() {
    lose(22);
    assertThat(groupFor(NEWCOMER, NOW_MS)).isEqualTo(2);
  }

  @Test
  void storesThatComeTogetherDoNotTakeTheSamePlace() {
    lose(12);
    lose(22);
    assertThat(Set.of(groupFor(NEWCOMER, NOW_MS), groupFor(NEWCOMER + 1, NOW_MS)))
        .containsExactlyInAnyOrder(1, 2);
  }

  @Test
  void storeWaitsWhileAllGroupsAreComplete() {
    assertThat(groupFor(NEWCOMER, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void storeWaitsAlsoWhenItAsksBeforeTheFirstMembers() {
    alive.replaceAll(store -> store(store.memberId(), FleetProcess.NO_GROUP));
    assertThat(groupFor(NEWCOMER, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void waitingStoreReplacesAMemberThatDoesNotReturn() {
    groupFor(NEWCOMER, NOW_MS);
    lose(11);
    assertThat(groupFor(NEWCOMER, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
    long laterMs = NOW_MS + JobsGroupRegistry.REPLACEMENT_DELAY_MS;
    assertThat(groupFor(NEWCOMER, laterMs - 1)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(NEWCOMER, laterMs)).isEqualTo(1);
  }

  @Test
  void newLeaderLeavesMembersTimeToStart() {
    registry.clear(NOW_MS);
    lose(11);
    long laterMs = NOW_MS + JobsGroupRegistry.REPLACEMENT_DELAY_MS;
    assertThat(groupFor(NEWCOMER, laterMs - 1)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(NEWCOMER, laterMs)).isEqualTo(1);
  }

  @Test
  void storeThatIsBeingEmptiedGetsNoGroup() {
    lose(11);
    FleetProcess leaving = store(NEWCOMER, FleetProcess.NO_GROUP);
    assertThat(registry.groupFor(leaving, founded, alive, Set.of(NEWCOMER), NOW_MS))
        .isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void memberThatIsBeingEmptiedLeavesAPlace() {
    FleetProcess newcomer = store(NEWCOMER, FleetProcess.NO_GROUP);
    assertThat(registry.groupFor(newcomer, founded, alive, Set.of(20), NOW_MS)).isEqualTo(2);
  }

  @Test
  void olderLeadersReportDoesNotCount() {
    registry.report(new JobsGroupReport(1, 7, configuration(10, 11)));
    registry.report(new JobsGroupReport(1, 6, configuration(10, 11, 12)));
    assertThat(registry.reports())
        .containsExactly(new JobsGroupReport(1, 7, configuration(10, 11)));
  }
}
