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

  private static void stream(EnginePace of, int eventMs) {
    of.onStream(EVENTS, (long) EVENTS * eventMs, NOW_MS);
  }

  @Test
  void oneStreamTellsAndOneThatWasHeldUpTurnsLittle() {
    stream(pace, 27);
    assertThat(pace.msPerEvent()).isEqualTo(27);
    for (int i = 0; i < 10; i++) {
      stream(pace, 27);
    }
    stream(pace, 2_000);
    assertThat(pace.msPerEvent()).isCloseTo(27, within(4.0));
  }

  @Test
  void enginesPaceThatChangesForGoodIsFollowed() {
    stream(pace, 27);
    for (int i = 0; i < 30; i++) {
      stream(pace, 75);
    }
    assertThat(pace.msPerEvent()).isCloseTo(75, within(3.0));
  }

  @Test
  void shortStreamsAndThoseThatCameAtOnceTellNothing() {
    pace.onStream(4, 400, NOW_MS);
    pace.onStream(EVENTS, 0, NOW_MS);
    assertThat(pace.isKnown()).isFalse();
  }

  @Test
  void toldFigureHoldsForAMomentAndAgainstWhatTheEngineUsuallyTells() {
    assertThat(pace.momentaryFactor(NOW_MS)).isEqualTo(1);
    for (int i = 0; i < 20; i++) {
      pace.onTold(270, NOW_MS);
    }
    assertThat(pace.momentaryFactor(NOW_MS)).as("its usual figure").isCloseTo(1, within(0.01));
    pace.onTold(400, NOW_MS);
    assertThat(pace.momentaryFactor(NOW_MS)).isGreaterThan(1.3);
    assertThat(pace.momentaryFactor(NOW_MS + 500)).isCloseTo(1, within(0.02));
  }

  @Test
  void vastFigureStaysWithinBounds() {
    pace.onTold(100, NOW_MS);
    pace.onTold(10_000, NOW_MS);
    assertThat(pace.momentaryFactor(NOW_MS)).isBetween(0.5, 2.0);
  }

  @Test
  void littleKnownEngineIsBetweenUsualAndItsOwnAndIsTriedAgainInTime() {
    EngineTable table = uneven();
    EngineState slow = table.find("e4");
    stream(slow.pace(), 81);
    double afterOne = ServicePace.of(table.all(), NOW_MS).relative(slow);
    assertThat(afterOne).isBetween(1.5, 3.0);
    for (int i = 0; i < 8; i++) {
      stream(slow.pace(), 81);
    }
    assertThat(ServicePace.of(table.all(), NOW_MS).relative(slow)).isCloseTo(3, within(0.2));
    assertThat(ServicePace.of(table.all(), NOW_MS).isSlow(slow)).isTrue();
    ServicePace later = ServicePace.of(table.all(), NOW_MS + 200_000);
    assertThat(later.isSlow(slow)).isFalse();
  }

  @Test
  void unknownEngineIsTakenForAUsualOne() {
    EngineTable table = uneven();
    assertThat(ServicePace.of(table.all(), NOW_MS).relative(table.find("e4"))).isEqualTo(1);
  }

  @Test
  void nextLifeOfAnEngineBeginsWithoutPace() {
    EngineTable table = uneven();
    EngineInstance next = new EngineInstance("e1", "s", "h:1", "z", 8, false, 5_000);
    table.update(Map.of("e1", next));
    assertThat(table.find("e1").pace().isKnown()).isFalse();
  }

  /** Four engines of which two streams were seen each, and a fifth one that is new. */
  private static EngineTable uneven() {
    Map<String, EngineInstance> listed = new HashMap<>();
    for (int i = 0; i < 5; i++) {
      listed.put("e" + i, new EngineInstance("e" + i, "s", "h:1", "z", 8, false));
    }
    EngineTable table = new EngineTable(500);
    table.update(listed);
    for (int i = 0; i < 4; i++) {
      EngineState engine = table.find("e" + i);
      engine.onLoad(new EngineLoadReport(0, 0, 8, EngineInstance.BORN_UNKNOWN, 100), NOW_MS);
      stream(engine.pace(), 27);
      stream(engine.pace(), 27);
    }
    return table;
  }
}
