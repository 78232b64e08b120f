package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests an engine that goes down and restarts with the same id and address. */
class TestEngineRestart {
  private static final long NOW_MS = 10_000;
  private static final long BORN_MS = 1_700_000_000_000L;

  private final EngineTable table = new EngineTable(500);

  private static EngineInstance instance(long bornMs) {
    return new EngineInstance("e", "s", "h:1", "z", 4, false, bornMs);
  }

  private void updateTable(EngineInstance engine) {
    table.update(Map.of(engine.id(), engine));
  }

  private boolean isOffered(long nowMs) {
    return !table.usable("s", RequestConstraints.NONE, nowMs).isEmpty()
        || !table.inService("s", RequestConstraints.NONE, nowMs).isEmpty();
  }

  @Test
  void pausesAfterEngineIsDown() {
    updateTable(instance(BORN_MS));
    table.onDown(instance(BORN_MS), NOW_MS);
    assertThat(isOffered(NOW_MS + 999)).isFalse();
    assertThat(isOffered(NOW_MS + 1_000)).as("the list may show the restart late").isTrue();
  }

  @Test
  void restartResetsState() {
    updateTable(instance(BORN_MS));
    EngineState previous = table.find("e");
    previous.onStart(NOW_MS);
    table.onDown(instance(BORN_MS), NOW_MS);
    updateTable(instance(BORN_MS + 5_000));
    assertThat(table.find("e")).isNotSameAs(previous);
    assertThat(table.find("e").inFlight()).isZero();
    assertThat(isOffered(NOW_MS)).isTrue();
    assertThat(previous.isUsable(NOW_MS)).isFalse();
  }

  @Test
  void ignoresFailureOfReplacedInstance() {
    updateTable(instance(BORN_MS + 5_000));
    table.onDown(instance(BORN_MS), NOW_MS);
    assertThat(isOffered(NOW_MS)).isTrue();
  }

  @Test
  void unknownStartComparesIdOnly() {
    updateTable(instance(EngineInstance.BORN_UNKNOWN));
    EngineState known = table.find("e");
    updateTable(instance(EngineInstance.BORN_UNKNOWN));
    assertThat(table.find("e")).isSameAs(known);
    assertThat(instance(BORN_MS).isOtherLife(EngineInstance.BORN_UNKNOWN)).isFalse();
    assertThat(instance(BORN_MS).isOtherLife(BORN_MS + 1)).isTrue();
  }
}
