package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TestLoadPolls {
  private static final long REPORT_HALF_LIFE_MS = 500;
  private static final long STEP_MS = 10;
  private static final long DURATION_MS = 6_000;

  private final EngineTable engines = new EngineTable(REPORT_HALF_LIFE_MS);
  private final List<String> polled = new ArrayList<>();
  private final LoadPolls polls = new LoadPolls(engine -> polled.add(engine.id()));

  private static EngineInstance engine(String id, boolean draining) {
    return new EngineInstance(id, "s", "h:1", "z", 12, draining);
  }

  @BeforeEach
  void addEngines() {
    engines.update(
        Map.of(
            "busy", engine("busy", false),
            "idle", engine("idle", false),
            "leaving", engine("leaving", true)));
    engines.find("busy").onStart(0);
    engines.find("leaving").onStart(0);
  }

  private void runPolls(boolean itemsWait) {
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      polls.onStep(engines.all(), itemsWait, nowMs);
    }
  }

  private long pollCount(String id) {
    return polled.stream().filter(id::equals).count();
  }

  @Test
  void pollsBusyEnginesMoreOften() {
    runPolls(true);
    assertThat(pollCount("busy")).isEqualTo(DURATION_MS / LoadPolls.BUSY_POLL_INTERVAL_MS);
    assertThat(pollCount("idle")).isEqualTo(DURATION_MS / LoadPolls.IDLE_POLL_INTERVAL_MS);
  }

  @Test
  void pollsIdleEnginesOnlyForWaitingItems() {
    runPolls(false);
    assertThat(pollCount("busy")).isPositive();
    assertThat(pollCount("idle")).isZero();
  }

  @Test
  void doesNotPollDrainingEngine() {
    runPolls(true);
    assertThat(pollCount("leaving")).isZero();
  }
}
