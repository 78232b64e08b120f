package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EvacuatedZones;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Saved lists of evacuated zones may be older than the one that a process has. */
class TestMergedEvacuations {
  private static final EvacuatedZones OLDER = new EvacuatedZones(1, List.of("a"));
  private static final EvacuatedZones NEWER = new EvacuatedZones(2, List.of("a", "b"));

  @Test
  void savedZonesReplaceOlderOnesOnly() {
    assertThat(FleetFollower.mergeEvacuatedZones(OLDER, NEWER, true)).isEqualTo(NEWER);
    assertThat(FleetFollower.mergeEvacuatedZones(NEWER, OLDER, true)).isEqualTo(NEWER);
  }

  @Test
  void leadersZonesAlwaysHold() {
    assertThat(FleetFollower.mergeEvacuatedZones(NEWER, OLDER, false)).isEqualTo(OLDER);
    assertThat(FleetFollower.mergeEvacuatedZones(NEWER, null, false)).isEqualTo(NEWER);
  }
}
