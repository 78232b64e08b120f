package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.command.FoundJobsGroups;
import io.pathdeck.protocol.command.FoundJobsGroupsInRegions;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Jobs must not cross regions where one region has enough stores, and must survive the losses. */
class TestJobsFounding {
  private static final int MIN_SIZE_FOR_TWO_LOSSES = 5;
  private static final Topology THREE_REGIONS =
      Topology.of(
          Map.of(
              "a1", "north", "a2", "north", "b1", "east", "b2", "east", "c1", "south", "c2",
              "south"));
  private static final Topology ONE_REGION =
      Topology.of(Map.of("a1", "north", "a2", "north", "b1", "north"));

  private final List<FleetProcess> stores = new ArrayList<>();

  private void addStores(String zone, int count) {
    for (int i = 0; i < count; i++) {
      int id = stores.size() + 1;
      stores.add(new FleetProcess("s" + id, FleetRole.STORE, zone, id, 1, "h:" + id, "", true, 0));
    }
  }

  private JobsFounding found(int toleratedZones, Topology topology) {
    return JobsFounding.of(stores, MIN_SIZE_FOR_TWO_LOSSES, toleratedZones, topology);
  }

  private List<String> zones(JobsGroupFounders group) {
    return group.configuration().members().stream()
        .map(Member::id)
        .map(id -> stores.get(id - 1).zone())
        .toList();
  }

  @Test
  void eachRegionWithEnoughStoresHasAGroup() {
    addStores("a1", 3);
    addStores("a2", 2);
    addStores("b1", 3);
    addStores("b2", 2);
    addStores("c1", 2);
    addStores("c2", 2);
    JobsFounding founding = found(0, THREE_REGIONS);
    assertThat(founding.groups()).extracting(JobsGroupFounders::group).containsExactly(1, 2);
    for (JobsGroupFounders group : founding.groups()) {
      assertThat(group.configuration().members()).hasSize(5);
      assertThat(THREE_REGIONS.isOneRegion(zones(group))).isTrue();
    }
    assertThat(founding.regions())
        .containsExactly(
            new JobsGroupRegions(1, List.of("east")), new JobsGroupRegions(2, List.of("north")));
    assertThat(founding.command()).isInstanceOf(FoundJobsGroupsInRegions.class);
  }

  @Test
  void groupSpansRegionsWhereNoneHasEnough() {
    addStores("a1", 2);
    addStores("a2", 2);
    addStores("b1", 2);
    addStores("c1", 2);
    JobsFounding founding = found(0, THREE_REGIONS);
    assertThat(founding.groups()).hasSize(1);
    assertThat(founding.regions())
        .containsExactly(new JobsGroupRegions(1, List.of("east", "north", "south")));
  }

  /** Three of five members in one zone are a majority, so the loss of the zone ends the group. */
  @Test
  void groupSpansRegionsIfItWouldNotSurviveTheLossOfAZone() {
    addStores("a1", 3);
    addStores("a2", 3);
    addStores("b1", 2);
    addStores("c1", 2);
    JobsFounding founding = found(1, THREE_REGIONS);
    for (JobsGroupFounders group : founding.groups()) {
      Map<String, Long> counts =
          zones(group).stream().collect(Collectors.groupingBy(zone -> zone, Collectors.counting()));
      int size = group.configuration().members().size();
      assertThat(counts.values()).allMatch(lost -> 2 * (size - lost) > size);
    }
  }

  @Test
  void fleetOfOneRegionIsFoundedAsBefore() {
    addStores("a1", 4);
    addStores("a2", 4);
    addStores("b1", 4);
    for (Topology topology : Set.of(ONE_REGION, Topology.UNKNOWN)) {
      assertThat(found(0, topology).command())
          .isEqualTo(new FoundJobsGroups(JobsGroupFounding.form(stores, MIN_SIZE_FOR_TWO_LOSSES)));
    }
  }
}
