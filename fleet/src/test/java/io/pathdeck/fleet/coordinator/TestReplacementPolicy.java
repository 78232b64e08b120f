package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A replacement of another region costs bytes, and may break what a tenant was promised. */
class TestReplacementPolicy {
  private static final int MIN_SIZE = 3;
  private static final long NOW_MS = 100_000;
  private static final long LATER_MS = NOW_MS + JobsGroupRegistry.REPLACEMENT_DELAY_MS;
  private static final Topology TOPOLOGY = Topology.of(Map.of("a", "north", "b", "east"));
  private static final List<JobsGroupRegions> REGIONS =
      List.of(new JobsGroupRegions(1, List.of("north")));

  private final ReplacementPolicy policy = new ReplacementPolicy(MIN_SIZE + 1, MIN_SIZE, TOPOLOGY);
  private final JobsGroupRegistry registry =
      new JobsGroupRegistry(policy, new ZoneBalance(MIN_SIZE + 1, 0));
  private final List<FleetProcess> liveStores = new ArrayList<>();
  private final List<JobsGroupFounders> founded = new ArrayList<>();

  TestReplacementPolicy() {
    List<Member> members = new ArrayList<>();
    for (int id = 1; id <= MIN_SIZE; id++) {
      members.add(new Member(id, 1, true, "h:" + id));
      liveStores.add(store(id, "a", 1));
    }
    founded.add(new JobsGroupFounders(1, new GroupConfiguration(members)));
    policy.update(REGIONS, Optional.empty());
  }

  private static FleetProcess store(int id, String zone, int group) {
    return new FleetProcess("s" + id, FleetRole.STORE, zone, id, 1, "h:" + id, "", true, group);
  }

  private FleetProcess addWaiting(int id, String zone) {
    FleetProcess waiting = store(id, zone, FleetProcess.NO_GROUP);
    liveStores.add(waiting);
    return waiting;
  }

  private int groupFor(FleetProcess store, long nowMs) {
    return registry.groupFor(store, founded, liveStores, Set.of(), nowMs);
  }

  @Test
  void storeOfTheRegionCompletesTheGroup() {
    assertThat(groupFor(addWaiting(10, "a"), NOW_MS)).isEqualTo(1);
  }

  @Test
  void storeOfAnotherRegionWaitsUntilTheGroupIsTooSmall() {
    FleetProcess other = addWaiting(10, "b");
    assertThat(groupFor(other, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(other, LATER_MS)).isEqualTo(FleetProcess.NO_GROUP);
    liveStores.remove(0);
    assertThat(groupFor(other, LATER_MS)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(other, LATER_MS + JobsGroupRegistry.REPLACEMENT_DELAY_MS)).isEqualTo(1);
  }

  @Test
  void waitingStoreOfTheRegionIsPreferred() {
    FleetProcess other = addWaiting(10, "b");
    groupFor(other, NOW_MS);
    FleetProcess near = addWaiting(11, "a");
    liveStores.remove(0);
    assertThat(groupFor(other, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(other, LATER_MS)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(near, LATER_MS)).isEqualTo(1);
  }

  @Test
  void noStoreBeyondTheAllowedRegionsOfATenant() {
    CallerTenant tenant = new CallerTenant("t", List.of(), 0, 0, 0, List.of("north"));
    RouteTable routes =
        new RouteTable(
            1, List.of(), List.of(), CallerLimits.NONE, List.of(tenant), new byte[0], new byte[0]);
    policy.update(REGIONS, Optional.of(routes));
    liveStores.remove(0);
    FleetProcess other = addWaiting(10, "b");
    assertThat(groupFor(other, NOW_MS)).isEqualTo(FleetProcess.NO_GROUP);
    assertThat(groupFor(other, LATER_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }
}
