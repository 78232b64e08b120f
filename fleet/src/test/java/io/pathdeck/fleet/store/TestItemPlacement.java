package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.ServicePace;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Places items that run 3.4 s on an engine of median pace and 9 s on a slow one. */
class TestItemPlacement {
  private static final long NOW_MS = 1_000;
  private static final long TYPICAL_RUN_MS = 3_400;
  private static final int STREAMS = 8;

  private final EngineTable table = new EngineTable(500);
  private final EngineState typicalEngine;
  private final EngineState slowEngine;

  TestItemPlacement() {
    Map<String, EngineInstance> instancesById = new HashMap<>();
    for (String id : List.of("u1", "u2", "slow")) {
      instancesById.put(id, new EngineInstance(id, "s", "h:1", "z", 8, false));
    }
    table.update(instancesById);
    typicalEngine = table.find("u1");
    slowEngine = table.find("slow");
    recordStreams("u1", 25);
    recordStreams("u2", 25);
    recordStreams("slow", 66);
  }

  private void recordStreams(String id, long eventMs) {
    for (int i = 0; i < STREAMS; i++) {
      table.find(id).pace().onStream(10, 10 * eventMs, NOW_MS);
    }
  }

  private void reportPace() {
    EngineLoadReport load = new EngineLoadReport(0, 0, 8, EngineInstance.BORN_UNKNOWN, 100);
    table.all().forEach(engine -> engine.onLoadReport(load, NOW_MS));
  }

  private List<EngineState> candidates(List<EngineState> available, long dueInMs) {
    ServicePace pace = table.pace("s", NOW_MS);
    ItemUrgency urgency = ItemUrgency.of(dueInMs - TYPICAL_RUN_MS);
    return ItemPlacement.candidates(
        available,
        pace,
        urgency,
        engine -> dueInMs - Math.round(TYPICAL_RUN_MS * pace.relativePace(engine)));
  }

  @Test
  void deferrableItemPrefersSlowEngine() {
    reportPace();
    assertThat(candidates(List.of(typicalEngine, slowEngine), 18_000)).containsExactly(slowEngine);
    assertThat(candidates(List.of(typicalEngine), 18_000)).containsExactly(typicalEngine);
  }

  @Test
  void itemAvoidsTooSlowEngine() {
    reportPace();
    assertThat(candidates(List.of(typicalEngine, slowEngine), 8_500))
        .containsExactly(typicalEngine);
    assertThat(candidates(List.of(slowEngine), 8_500)).isEmpty();
  }

  @Test
  void urgentItemAvoidsSlowEngine() {
    reportPace();
    assertThat(candidates(List.of(typicalEngine, slowEngine), 6_000))
        .containsExactly(typicalEngine);
    assertThat(candidates(List.of(slowEngine), 6_000)).isEmpty();
  }

  @Test
  void lateItemPrefersSlowEngine() {
    reportPace();
    assertThat(candidates(List.of(typicalEngine, slowEngine), 1_000)).containsExactly(slowEngine);
    assertThat(candidates(List.of(typicalEngine), 1_000)).containsExactly(typicalEngine);
  }

  @Test
  void unreportedPaceMakesEnginesEqual() {
    List<EngineState> available = List.of(typicalEngine, slowEngine);
    for (long dueInMs : new long[] {18_000, 8_500, 6_000, 1_000}) {
      assertThat(candidates(available, dueInMs)).isEqualTo(available);
    }
  }
}
