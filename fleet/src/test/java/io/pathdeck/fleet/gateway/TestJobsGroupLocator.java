package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.gateway.JobsGroupLocator.JobsGroup;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.raft.GroupConfiguration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A job must be stored nowhere beyond its allowed regions, and refused if that is impossible. */
class TestJobsGroupLocator {
  private static final Topology TOPOLOGY =
      Topology.of(Map.of("a", "north", "b", "east", "c", "south"));
  private static final List<JobsGroupRegions> REGIONS =
      List.of(
          new JobsGroupRegions(1, List.of("north")),
          new JobsGroupRegions(2, List.of("east", "south")));

  private static JobsGroupLocator locator(List<JobsGroupRegions> regions, Topology topology) {
    GroupConfiguration nobody = new GroupConfiguration(List.of());
    FleetView view =
        new FleetView(
            null,
            null,
            Map.of(),
            List.of(new JobsGroupFounders(1, nobody), new JobsGroupFounders(2, nobody)),
            List.of(),
            0,
            List.of(),
            QuarantineList.NONE,
            EvacuatedZones.NONE,
            regions,
            List.of(),
            List.of());
    return new JobsGroupLocator(null, null, () -> view, topology);
  }

  private static Optional<Integer> group(JobsGroupLocator locator, String id, String... allowed) {
    return locator.groupFor(id, AllowedRegions.of(List.of(allowed))).map(JobsGroup::group);
  }

  @Test
  void restrictedJobMapsToGroupsWithinTheAllowedRegions() {
    JobsGroupLocator locator = locator(REGIONS, TOPOLOGY);
    for (int job = 0; job < 20; job++) {
      assertThat(group(locator, "j" + job, "north")).contains(1);
      assertThat(group(locator, "j" + job, "south", "east")).contains(2);
      assertThat(group(locator, "j" + job, "east")).isEmpty();
    }
  }

  @Test
  void groupOfUnknownRegionsStoresOnlyWhatAllRegionsMay() {
    JobsGroupLocator locator = locator(List.of(), TOPOLOGY);
    assertThat(group(locator, "j", "north", "east")).isEmpty();
    assertThat(group(locator, "j", "north", "east", "south")).isPresent();
    assertThat(group(locator, "j")).isPresent();
    assertThat(group(locator(List.of(), Topology.of(Map.of("a", "north"))), "j", "north"))
        .isPresent();
    assertThat(group(locator(List.of(), Topology.UNKNOWN), "j", "north")).isEmpty();
  }
}
