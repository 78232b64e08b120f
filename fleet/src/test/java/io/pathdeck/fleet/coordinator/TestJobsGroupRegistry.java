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

class TestJobsGroupRegistry {
  private static final int TARGET_SIZE = 3;
  private static final int NEW_STORE = 40;
  private static final long NOW_MS = 10_000;

  private final JobsGroupRegistry registry =
      new JobsGroupRegistry(
          ReplacementPolicy.withoutRegions(TARGET_SIZE), new ZoneBalance(TARGET_SIZE, 0));
  private final List<FleetProcess> liveStores = new ArrayList<>();
  private final List<JobsGroupFounders> foundedGroups = List.of(founders(1, 10), founders(2, 20));

  TestJobsGroupRegistry() {
    for (JobsGroupFounders group : foundedGroups) {
      for (Member member : group.configuration().members()) {
        liveStores.add(store(member.id(), group.group()));
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

  private void removeStore(int id) {
    liveStores.removeIf(store -> store.memberId() == id);
  }

  private int groupFor(int id, long nowMs) {
    FleetProcess asking = store(id, FleetProcess.NO_GROUP);
    if (!liveStores.contains(asking)) {
      liveStores.add(asking);
    }
    return registry.groupFor(asking, foundedGroups, liveStores, Set.of(), nowMs);
  }

  @Test
  void assignsFounderToItsGroup() {
    assertThat(groupFor(21, NOW_MS)).isEqualTo(2);
  }

  @Test
  void storeKeepsReportedGroup() {
    assertThat(registry.groupFor(store(NEW_STORE, 2), foundedGroups, liveStores, Set.of(), NOW_MS))
        .isEqualTo(2);
  }

  @Test
  void memberRejoinsItsGroupAfterDiskLoss() {
    registry.onReport(new JobsGroupReport(2, 5, configuration(20, 21, NEW_STORE)));
    removeStore(10);
    assertThat(groupFor(NEW_STORE, NOW_MS)).isEqualTo(2);
  }

  @Test
  void newStoreReplacesLostOneImmediately() {
    removeStore(22);
    assertThat(groupFor(NEW_STORE, NOW_MS)).isEqualTo(2);
  }

  @Test
  void simultaneousStoresFillDifferentGroups() {
    removeStore(12);
    removeStore(22);
    assertThat(Set.of(groupFor(NEW_STORE, NOW_MS), groupFor(NEW_STORE + 1, NOW_MS)))
        .containsExactlyInAnyOrder(1, 2);
  }

  @Test
  void storeWaitsWhileAllGroupsAreComplete() {
    assertThat(groupFor(NEW_STORE, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void storeWaitsEvenBeforeFoundersReport() {
    liveStores.replaceAll(store -> store(store.memberId(), FleetProcess.NO_GROUP));
    assertThat(groupFor(NEW_STORE, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void waitingStoreReplacesMemberAfterDelay() {
    groupFor(NEW_STORE, NOW_MS);
    removeStore(11);
    assertThat(groupFor(NEW_STORE, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
    long laterMs = NOW_MS + JobsGroupRegistry.REPLACEMENT_DELAY_MS;
    assertThat(groupFor(NEW_STORE, laterMs - 1)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(NEW_STORE, laterMs)).isEqualTo(1);
  }

  @Test
  void newLeaderDelaysReplacements() {
    registry.clear(NOW_MS);
    removeStore(11);
    long laterMs = NOW_MS + JobsGroupRegistry.REPLACEMENT_DELAY_MS;
    assertThat(groupFor(NEW_STORE, laterMs - 1)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(NEW_STORE, laterMs)).isEqualTo(1);
  }

  @Test
  void retiringStoreGetsNoGroup() {
    removeStore(11);
    FleetProcess leaving = store(NEW_STORE, FleetProcess.NO_GROUP);
    assertThat(registry.groupFor(leaving, foundedGroups, liveStores, Set.of(NEW_STORE), NOW_MS))
        .isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void retiringMemberIsReplaced() {
    FleetProcess newcomer = store(NEW_STORE, FleetProcess.NO_GROUP);
    assertThat(registry.groupFor(newcomer, foundedGroups, liveStores, Set.of(20), NOW_MS))
        .isEqualTo(2);
  }

  @Test
  void ignoresReportOfOlderTerm() {
    registry.onReport(new JobsGroupReport(1, 7, configuration(10, 11)));
    registry.onReport(new JobsGroupReport(1, 6, configuration(10, 11, 12)));
    assertThat(registry.reports())
        .containsExactly(new JobsGroupReport(1, 7, configuration(10, 11)));
  }
}
