package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TestEngineLoadEstimate {
  private static final long HALF_LIFE_MS = 250;
  private static final long REPORTED_MS = 1_000;

  private final EngineState engine = engine();

  private static EngineState engine() {
    EngineTable table = new EngineTable(HALF_LIFE_MS);
    table.update(Map.of("e", new EngineInstance("e", "s", "h:1", "z", 6, false)));
    return table.find("e");
  }

  @Test
  void otherCallsDecayByHalfLife() {
    engine.onLoadReport(new EngineLoadReport(4, 2, 6), REPORTED_MS);
    assertThat(engine.estimatedLoad(REPORTED_MS)).isEqualTo(6);
    assertThat(engine.estimatedLoad(REPORTED_MS + HALF_LIFE_MS)).isEqualTo(3);
    assertThat(engine.estimatedLoad(REPORTED_MS + 2 * HALF_LIFE_MS)).isEqualTo(1.5);
  }

  @Test
  void ownCallsDoNotDecay() {
    engine.onStart(REPORTED_MS);
    engine.onLoadReport(new EngineLoadReport(5, 0, 6), REPORTED_MS);
    assertThat(engine.estimatedLoad(REPORTED_MS + HALF_LIFE_MS)).isEqualTo(1 + 2);
  }

  @Test
  void peerCallsAreCountedOnce() {
    engine.onStart(REPORTED_MS);
    engine.onPeerCalls(2);
    engine.onLoadReport(new EngineLoadReport(4, 1, 6), REPORTED_MS);
    assertThat(engine.estimatedLoad(REPORTED_MS)).isEqualTo(5);
    assertThat(engine.estimatedLoad(REPORTED_MS + HALF_LIFE_MS)).isEqualTo(1 + 2 + 1);
    engine.onPeerCalls(0);
    assertThat(engine.estimatedLoad(REPORTED_MS + HALF_LIFE_MS)).isEqualTo(1 + 1);
  }

  @Test
  void excessPeerCallsKeepOwnCalls() {
    engine.onStart(REPORTED_MS);
    engine.onPeerCalls(5);
    engine.onLoadReport(new EngineLoadReport(3, 0, 6), REPORTED_MS);
    assertThat(engine.estimatedLoad(REPORTED_MS)).isEqualTo(6);
  }

  @Property(tries = 200)
  void addsOwnCallsAndDecayedOthers(
      @ForAll @IntRange(max = 20) int ownCalls,
      @ForAll @IntRange(max = 40) int reportedCalls,
      @ForAll @IntRange(max = 5_000) int ageMs) {
    EngineState alone = engine();
    for (int i = 0; i < ownCalls; i++) {
      alone.onStart(REPORTED_MS);
    }
    alone.onLoadReport(new EngineLoadReport(reportedCalls, 0, 6), REPORTED_MS);
    double weight = Math.pow(0.5, (double) ageMs / HALF_LIFE_MS);
    assertThat(alone.estimatedLoad(REPORTED_MS + ageMs))
        .isEqualTo(ownCalls + Math.max(0, reportedCalls - ownCalls) * weight);
  }

  @Test
  void pacePersistsAfterOneReport() {
    assertThat(engine.reportsPace()).isFalse();
    engine.onLoadReport(new EngineLoadReport(1, 0, 6, 0, 100), REPORTED_MS);
    engine.onLoadReport(new EngineLoadReport(1, 0, 6), REPORTED_MS);
    assertThat(engine.reportsPace()).isTrue();
  }
}
