package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestEnginePace {
  private static final long NOW_MS = 10_000;
  private static final int EVENTS = 20;

  private final EnginePace pace = new EnginePace();

  private static void addStream(EnginePace target, int eventMs) {
    target.onStream(EVENTS, (long) EVENTS * eventMs, NOW_MS);
  }

  @Test
  void singleOutlierHasLittleEffect() {
    addStream(pace, 27);
    assertThat(pace.msPerEvent()).isEqualTo(27);
    for (int i = 0; i < 10; i++) {
      addStream(pace, 27);
    }
    addStream(pace, 2_000);
    assertThat(pace.msPerEvent()).isCloseTo(27, within(4.0));
  }

  @Test
  void followsLastingChange() {
    addStream(pace, 27);
    for (int i = 0; i < 30; i++) {
      addStream(pace, 75);
    }
    assertThat(pace.msPerEvent()).isCloseTo(75, within(3.0));
  }

  @Test
  void ignoresShortAndInstantStreams() {
    pace.onStream(4, 400, NOW_MS);
    pace.onStream(EVENTS, 0, NOW_MS);
    assertThat(pace.hasSamples()).isFalse();
  }

  @Test
  void reportIsRelativeAndDecays() {
    assertThat(pace.currentFactor(NOW_MS)).isEqualTo(1);
    for (int i = 0; i < 20; i++) {
      pace.onPaceReport(270, NOW_MS);
    }
    assertThat(pace.currentFactor(NOW_MS)).as("equal to its average").isCloseTo(1, within(0.01));
    pace.onPaceReport(400, NOW_MS);
    assertThat(pace.currentFactor(NOW_MS)).isGreaterThan(1.3);
    assertThat(pace.currentFactor(NOW_MS + 500)).isCloseTo(1, within(0.02));
  }

  @Test
  void boundsCurrentFactor() {
    pace.onPaceReport(100, NOW_MS);
    pace.onPaceReport(10_000, NOW_MS);
    assertThat(pace.currentFactor(NOW_MS)).isBetween(0.5, 2.0);
  }

  @Test
  void fewSamplesShrinkTowardMedian() {
    EngineTable table = heterogeneousTable();
    EngineState slow = table.find("e4");
    addStream(slow.pace(), 81);
    double afterOne = ServicePace.of(table.all(), NOW_MS).relativePace(slow);
    assertThat(afterOne).isBetween(1.5, 3.0);
    for (int i = 0; i < 8; i++) {
      addStream(slow.pace(), 81);
    }
    assertThat(ServicePace.of(table.all(), NOW_MS).relativePace(slow)).isCloseTo(3, within(0.2));
    assertThat(ServicePace.of(table.all(), NOW_MS).isSlow(slow)).isTrue();
    ServicePace later = ServicePace.of(table.all(), NOW_MS + 200_000);
    assertThat(later.isSlow(slow)).isFalse();
  }

  @Test
  void unknownEngineHasMedianPace() {
    EngineTable table = heterogeneousTable();
    assertThat(ServicePace.of(table.all(), NOW_MS).relativePace(table.find("e4"))).isEqualTo(1);
  }

  @Test
  void restartResetsPace() {
    EngineTable table = heterogeneousTable();
    EngineInstance next = new EngineInstance("e1", "s", "h:1", "z", 8, false, 5_000);
    table.update(Map.of("e1", next));
    assertThat(table.find("e1").pace().hasSamples()).isFalse();
  }

  /** Four engines with two sampled streams each, and a fifth without samples. */
  private static EngineTable heterogeneousTable() {
    Map<String, EngineInstance> listed = new HashMap<>();
    for (int i = 0; i < 5; i++) {
      listed.put("e" + i, new EngineInstance("e" + i, "s", "h:1", "z", 8, false));
    }
    EngineTable table = new EngineTable(500);
    table.update(listed);
    for (int i = 0; i < 4; i++) {
      EngineState engine = table.find("e" + i);
      engine.onLoadReport(new EngineLoadReport(0, 0, 8, EngineInstance.BORN_UNKNOWN, 100), NOW_MS);
      addStream(engine.pace(), 27);
      addStream(engine.pace(), 27);
    }
    return table;
  }
}
