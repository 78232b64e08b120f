package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Map;
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
  void requestsOfOthersCountHalfAfterTheHalfLife() {
    engine.onLoad(new EngineLoadReport(4, 2, 6), REPORTED_MS);
    assertThat(engine.estimatedLoad(REPORTED_MS)).isEqualTo(6);
    assertThat(engine.estimatedLoad(REPORTED_MS + HALF_LIFE_MS)).isEqualTo(3);
    assertThat(engine.estimatedLoad(REPORTED_MS + 2 * HALF_LIFE_MS)).isEqualTo(1.5);
  }

  @Test
  void ownRequestsCountWholeWhateverTheAgeOfTheReport() {
    engine.onStart(REPORTED_MS);
    engine.onLoad(new EngineLoadReport(5, 0, 6), REPORTED_MS);
    assertThat(engine.estimatedLoad(REPORTED_MS + HALF_LIFE_MS)).isEqualTo(1 + 2);
  }
}
