package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import org.junit.jupiter.api.Test;

class TestFoundingCandidates {
  private static final int MIN_GROUP_SIZE = 3;
  private static final long SETTLED_MS = 1_000 + FoundingCandidates.SETTLE_MS;

  private final FoundingCandidates candidates = new FoundingCandidates();

  private static FleetProcess store(int id, int incarnation, int group) {
    return new FleetProcess(
        "s" + id, FleetRole.STORE, "z", id, incarnation, "h:" + id, "", true, group);
  }

  private void report(int id, int incarnation, boolean ofFirstStart, long nowMs) {
    FleetProcess sender = store(id, incarnation, FleetProcess.NO_GROUP);
    candidates.onHeartbeat(sender, ofFirstStart, nowMs);
  }

  /** Guards against a system that never accepts a job after one disk was lost at its start. */
  @Test
  void storeThatLostItsDiskBeforeTheFirstGroupCounts() {
    report(1, 10, true, 0);
    report(2, 20, true, 0);
    assertThat(candidates.areSettled(MIN_GROUP_SIZE, SETTLED_MS)).isFalse();
    report(3, 31, false, 1_000);
    assertThat(candidates.areSettled(MIN_GROUP_SIZE, SETTLED_MS - 1)).isFalse();
    assertThat(candidates.areSettled(MIN_GROUP_SIZE, SETTLED_MS)).isTrue();
    assertThat(candidates.stores()).extracting(FleetProcess::incarnation).contains(31L);
  }

  @Test
  void newIncarnationTakesThePlaceOfTheLostOne() {
    report(1, 10, true, 0);
    report(2, 20, true, 0);
    report(3, 30, true, 0);
    report(3, 31, false, 1_000);
    assertThat(candidates.areSettled(MIN_GROUP_SIZE, SETTLED_MS - 1)).isFalse();
    assertThat(candidates.stores()).extracting(FleetProcess::incarnation).doesNotContain(30L);
  }

  @Test
  void storesThatTookNoPartInTheFirstStartFoundNothingAmongThemselves() {
    for (int id = 1; id <= 5; id++) {
      report(id, id, false, 1_000);
    }
    assertThat(candidates.areSettled(MIN_GROUP_SIZE, SETTLED_MS)).isFalse();
  }

  @Test
  void storesOfAGroupAndOtherProcessesAreNoCandidates() {
    candidates.onHeartbeat(store(1, 10, 1), true, 0);
    FleetProcess gateway =
        new FleetProcess("g", FleetRole.GATEWAY, "z", 2, 1, "h:2", "", true, FleetProcess.NO_GROUP);
    candidates.onHeartbeat(gateway, true, 0);
    assertThat(candidates.stores()).isEmpty();
  }
}
