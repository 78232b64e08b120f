package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestEngineChoice {
  private static final long NOW_MS = 1_000;
  private static final long LONG_PROMPT = 9_000;
  private static final long SHORT_PROMPT = 600;

  private final EngineTable table = new EngineTable();
  private final EngineChoice choice = new EngineChoice("a", 1);

  TestEngineChoice() {
    Map<String, EngineInstance> engines = new HashMap<>();
    for (String zone : List.of("a", "b")) {
      for (int i = 0; i < 3; i++) {
        String id = zone + i;
        engines.put(id, new EngineInstance(id, "s", "h:1", zone, 10, false));
      }
    }
    table.update(engines);
  }

  private EngineState choose(long promptTokens) {
    return choice.choose(table.usable("s", Set.of(), NOW_MS), promptTokens, NOW_MS).orElseThrow();
  }

  @Test
  void ownZoneIsPreferred() {
    for (int i = 0; i < 20; i++) {
      assertThat(choose(SHORT_PROMPT).instance().zone()).isEqualTo("a");
    }
  }

  @Test
  void loadSpillsToOtherZones() {
    table.all().stream()
        .filter(engine -> engine.instance().zone().equals("a"))
        .forEach(
            engine -> {
              for (int i = 0; i < 9; i++) {
                engine.onStart(NOW_MS);
              }
            });
    assertThat(choose(SHORT_PROMPT).instance().zone()).isEqualTo("b");
  }

  @Test
  void longPromptsMeetOnOneEngineAndShortOnesKeepAway() {
    Set<String> forLong = new HashSet<>();
    Set<String> forShort = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      forLong.add(choose(LONG_PROMPT).instance().id());
      forShort.add(choose(SHORT_PROMPT).instance().id());
    }
    assertThat(forLong).hasSize(1);
    assertThat(forShort).hasSize(2).doesNotContainAnyElementsOf(forLong);
  }

  @Test
  void engineWithUnreadPromptsIsAvoided() {
    EngineState first = choose(SHORT_PROMPT);
    first.onPromptSent(20_000);
    for (int i = 0; i < 10; i++) {
      assertThat(choose(SHORT_PROMPT)).isNotEqualTo(first);
    }
  }

  @Test
  void drainingAndFailedEnginesGetNothing() {
    EngineState failed = table.find("a0");
    failed.onFailure(NOW_MS);
    assertThat(table.usable("s", Set.of(), NOW_MS)).doesNotContain(failed).hasSize(5);
    failed.onHeard(NOW_MS);
    assertThat(table.usable("s", Set.of(), NOW_MS + 600)).contains(failed);
    failed.update(new EngineInstance("a0", "s", "h:1", "a", 10, true));
    assertThat(table.usable("s", Set.of(), NOW_MS + 600)).doesNotContain(failed);
    assertThat(table.listed("s", Set.of())).doesNotContain(failed);
  }

  @Test
  void engineThatLeavesTheListIsGone() {
    EngineState kept = table.find("a0");
    table.update(Map.of());
    assertThat(kept.isUsable(NOW_MS)).isFalse();
    assertThat(table.all()).isEmpty();
  }

  @Test
  void engineWhoseCallsWaitedIsAvoidedForAWhile() {
    EngineState slow = choose(SHORT_PROMPT);
    for (int i = 0; i < 5; i++) {
      slow.onFirstBytes(500, NOW_MS);
    }
    assertThat(choose(SHORT_PROMPT)).isNotEqualTo(slow);
    assertThat(slow.recentWaitMs(NOW_MS + 4_000)).isLessThan(5);
  }
}
