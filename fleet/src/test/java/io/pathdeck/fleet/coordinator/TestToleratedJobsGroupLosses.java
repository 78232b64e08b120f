package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Jobs groups of a fleet of three zones that tolerates two lost stores, or one lost zone. */
class TestToleratedJobsGroupLosses {
  private static final int MIN_SIZE = 5;
  private static final int TARGET_SIZE = JobsGroupFounding.targetSize(MIN_SIZE);
  private static final long NOW_MS = 100_000;

  private final List<FleetProcess> stores = new ArrayList<>();

  private FleetProcess addStore(String zone, int group) {
    int id = stores.size() + 1;
    FleetProcess store =
        new FleetProcess("s" + id, FleetRole.STORE, zone, id, 70 + id, "h:" + id, "", true, group);
    stores.add(store);
    return store;
  }

  private void addStores(String zone, int count, int group) {
    for (int i = 0; i < count; i++) {
      addStore(zone, group);
    }
  }

  private long countOutside(JobsGroupFounders group, String lostZone) {
    return group.configuration().members().stream()
        .map(Member::id)
        .filter(id -> !stores.get(id - 1).zone().equals(lostZone))
        .count();
  }

  @Test
  void foundedGroupsKeepAQuorumWithoutAnyZoneOrTwoStores() {
    addStores("a", 4, FleetProcess.NO_GROUP);
    addStores("b", 3, FleetProcess.NO_GROUP);
    addStores("c", 3, FleetProcess.NO_GROUP);
    List<JobsGroupFounders> groups = JobsGroupFounding.form(stores, MIN_SIZE);
    assertThat(groups).hasSize(1);
    JobsGroupFounders group = groups.get(0);
    int quorum = group.configuration().quorum();
    assertThat(Set.of("a", "b", "c")).allMatch(zone -> countOutside(group, zone) >= quorum);
    assertThat(group.configuration().voterCount() - 2).isGreaterThanOrEqualTo(quorum);
  }

  /** The stores of zone a came back with empty disks after others had taken their places. */
  @Test
  void groupWithoutMembersOfAZoneTakesThemInAgain() {
    addStores("b", 3, 1);
    addStores("c", 3, 1);
    FleetProcess returned = addStore("a", FleetProcess.NO_GROUP);
    assertThat(groupFor(returned, 1)).isEqualTo(1);
  }

  @Test
  void zonesDoNotMatterUnlessTheyMayBeLost() {
    addStores("b", 3, 1);
    addStores("c", 3, 1);
    FleetProcess returned = addStore("a", FleetProcess.NO_GROUP);
    assertThat(groupFor(returned, 0)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void completeGroupOverThreeZonesTakesNoFurtherMember() {
    addStores("a", 2, 1);
    addStores("b", 2, 1);
    addStores("c", 2, 1);
    FleetProcess further = addStore("a", FleetProcess.NO_GROUP);
    assertThat(groupFor(further, 1)).isEqualTo(FleetProcess.NO_GROUP);
  }

  private int groupFor(FleetProcess store, int toleratedZones) {
    JobsGroupRegistry registry =
        new JobsGroupRegistry(
            ReplacementPolicy.withoutRegions(TARGET_SIZE),
            new ZoneBalance(TARGET_SIZE, toleratedZones));
    List<FleetProcess> members = stores.stream().filter(other -> other.jobsGroup() == 1).toList();
    List<JobsGroupFounders> founded = JobsGroupFounding.form(members, MIN_SIZE);
    return registry.groupFor(store, founded, stores, Set.of(), NOW_MS);
  }
}
