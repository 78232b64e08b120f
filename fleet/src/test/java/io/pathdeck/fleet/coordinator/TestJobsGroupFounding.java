package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestJobsGroupFounding {
  private static final int MIN_SIZE_FOR_TWO_LOSSES = 5;
  private static final int MIN_SIZE_FOR_ONE_LOSS = 3;

  private static List<FleetProcess> stores(int count, int zones) {
    List<FleetProcess> stores = new ArrayList<>();
    for (int id = 1; id <= count; id++) {
      String zone = "z" + id % zones;
      stores.add(
          new FleetProcess("s" + id, FleetRole.STORE, zone, id, 70 + id, "h:" + id, "", true, 0));
    }
    return stores;
  }

  private static List<Integer> sizes(List<JobsGroupFounders> groups) {
    return groups.stream().map(group -> group.configuration().members().size()).toList();
  }

  @Test
  void groupHasOneSpareMember() {
    assertThat(sizes(JobsGroupFounding.form(stores(12, 5), MIN_SIZE_FOR_TWO_LOSSES)))
        .containsExactly(6, 6);
    assertThat(sizes(JobsGroupFounding.form(stores(45, 5), MIN_SIZE_FOR_TWO_LOSSES)))
        .containsExactly(6, 6, 6, 6, 6, 6, 6);
  }

  @Test
  void surplusStoresJoinNoGroup() {
    assertThat(sizes(JobsGroupFounding.form(stores(10, 3), MIN_SIZE_FOR_TWO_LOSSES)))
        .containsExactly(6);
  }

  @Test
  void fewStoresMakeOneGroup() {
    assertThat(sizes(JobsGroupFounding.form(stores(3, 3), MIN_SIZE_FOR_ONE_LOSS)))
        .containsExactly(3);
    assertThat(sizes(JobsGroupFounding.form(stores(4, 4), MIN_SIZE_FOR_ONE_LOSS)))
        .containsExactly(4);
  }

  @Test
  void groupsAreDisjointAndNumberedFromOne() {
    List<JobsGroupFounders> groups = JobsGroupFounding.form(stores(12, 5), MIN_SIZE_FOR_TWO_LOSSES);
    Set<Integer> seen = new HashSet<>();
    for (JobsGroupFounders group : groups) {
      for (Member member : group.configuration().members()) {
        assertThat(seen.add(member.id())).isTrue();
        assertThat(member.voter()).isTrue();
      }
    }
    assertThat(groups).extracting(JobsGroupFounders::group).containsExactly(1, 2);
  }

  /** A group would stop if it lost a zone that holds half of its members. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 4, 5, 6})
  void groupSpansAllZones(int zones) {
    List<FleetProcess> stores = stores(12, zones);
    for (JobsGroupFounders group : JobsGroupFounding.form(stores, MIN_SIZE_FOR_TWO_LOSSES)) {
      long spread =
          group.configuration().members().stream()
              .map(member -> stores.get(member.id() - 1).zone())
              .distinct()
              .count();
      assertThat(spread).isEqualTo(zones);
    }
  }

  @Test
  void storesThatReportAGroupKeepCoordinatorsWithoutStateFromFoundingOthers() {
    List<FleetProcess> stores = stores(4, 2);
    assertThat(JobsGroupFounding.isFirst(stores)).isTrue();
    stores.add(new FleetProcess("s5", FleetRole.STORE, "z", 5, 75, "h:5", "", true, 1));
    assertThat(JobsGroupFounding.isFirst(stores)).isFalse();
  }
}
