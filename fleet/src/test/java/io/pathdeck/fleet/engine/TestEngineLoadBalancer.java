package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestEngineLoadBalancer {
  private static final long REPORT_HALF_LIFE_MS = 500;
  private static final long NOW_MS = 1_000;
  private static final Prompt SHORT_PROMPT = new Prompt(600, "head", 150);

  private final EngineTable table = new EngineTable(REPORT_HALF_LIFE_MS);
  private final EngineLoadBalancer loadBalancer = new EngineLoadBalancer("a", 1);

  TestEngineLoadBalancer() {
    Map<String, EngineInstance> engines = new HashMap<>();
    for (String zone : List.of("a", "b")) {
      for (int i = 0; i < 3; i++) {
        String id = zone + i;
        engines.put(id, new EngineInstance(id, "s", "h:1", zone, 10, false));
      }
    }
    table.update(engines);
  }

  private EngineState choose(Prompt prompt) {
    return place(loadBalancer, prompt).engine();
  }

  private Placement place(EngineLoadBalancer balancer, Prompt prompt) {
    return balancer.choose(table.usable("s", Set.of(), NOW_MS), prompt, NOW_MS).orElseThrow();
  }

  private static Prompt longPrompt(String prefix) {
    return new Prompt(9_000, prefix, 6_300);
  }

  @Test
  void prefersOwnZone() {
    for (int i = 0; i < 20; i++) {
      assertThat(choose(SHORT_PROMPT).instance().zone()).isEqualTo("a");
    }
  }

  @Test
  void usesOtherZoneUnderLoad() {
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
  void sharedPrefixHasOneOwnerInAllZones() {
    EngineLoadBalancer otherZone = new EngineLoadBalancer("b", 2);
    for (String prefix : List.of("x", "y", "z")) {
      Set<String> owners = new HashSet<>();
      for (int i = 0; i < 10; i++) {
        owners.add(choose(longPrompt(prefix)).instance().id());
        owners.add(place(otherZone, longPrompt(prefix)).engine().instance().id());
      }
      assertThat(owners).as(prefix).hasSize(1);
    }
  }

  @Test
  void spreadsPrefixesOverEngines() {
    Set<String> owners = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      owners.add(choose(longPrompt("prefix-" + i)).instance().id());
    }
    assertThat(owners).hasSize(6);
  }

  @Test
  void countsPrefixAsCachedOnlyAtOwner() {
    Placement atOwner = place(loadBalancer, longPrompt("x"));
    assertThat(atOwner.prefillTokens()).isEqualTo(9_000 - 6_300);
    for (int i = 0; i < 10; i++) {
      atOwner.engine().onStart(NOW_MS);
    }
    Placement elsewhere = place(loadBalancer, longPrompt("x"));
    assertThat(elsewhere.engine()).isNotEqualTo(atOwner.engine());
    assertThat(elsewhere.prefillTokens()).isEqualTo(9_000);
  }

  @Test
  void ownerChangesOnlyWhenRemoved() {
    EngineState owner = choose(longPrompt("x"));
    Map<String, EngineInstance> listed = new HashMap<>();
    table.all().forEach(engine -> listed.put(engine.instance().id(), engine.instance()));
    String other =
        listed.keySet().stream()
            .filter(id -> !id.equals(owner.instance().id()))
            .findFirst()
            .orElseThrow();
    listed.remove(other);
    table.update(listed);
    assertThat(choose(longPrompt("x"))).isEqualTo(owner);
    listed.remove(owner.instance().id());
    table.update(listed);
    assertThat(choose(longPrompt("x"))).isNotEqualTo(owner);
  }

  @Test
  void avoidsEngineWithPendingPrefill() {
    EngineState first = choose(SHORT_PROMPT);
    first.onPromptSent(20_000);
    for (int i = 0; i < 10; i++) {
      assertThat(choose(SHORT_PROMPT)).isNotEqualTo(first);
    }
  }

  @Test
  void skipsDrainingAndFailedEngines() {
    EngineState failed = table.find("a0");
    failed.onFailure(NOW_MS);
    assertThat(table.usable("s", Set.of(), NOW_MS)).doesNotContain(failed).hasSize(5);
    failed.onDataReceived(NOW_MS);
    assertThat(table.usable("s", Set.of(), NOW_MS + 600)).contains(failed);
    failed.update(new EngineInstance("a0", "s", "h:1", "a", 10, true));
    assertThat(table.usable("s", Set.of(), NOW_MS + 600)).doesNotContain(failed);
    assertThat(table.inService("s", Set.of(), NOW_MS)).doesNotContain(failed);
  }

  @Test
  void unlistedEngineIsUnusable() {
    EngineState unlisted = table.find("a0");
    table.update(Map.of());
    assertThat(unlisted.isUsable(NOW_MS)).isFalse();
    assertThat(table.all()).isEmpty();
  }

  @Test
  void avoidsEngineAfterLongWaits() {
    EngineState slow = choose(SHORT_PROMPT);
    for (int i = 0; i < 5; i++) {
      slow.onFirstBytes(500, NOW_MS);
    }
    assertThat(choose(SHORT_PROMPT)).isNotEqualTo(slow);
    assertThat(slow.recentWaitMs(NOW_MS + 4_000)).isLessThan(5);
  }

  private void reportPace(String id, long eventMs) {
    EngineState engine = table.find(id);
    engine.onLoadReport(new EngineLoadReport(0, 0, 10, EngineInstance.BORN_UNKNOWN, 100), NOW_MS);
    showPace(id, eventMs);
  }

  private void showPace(String id, long eventMs) {
    for (int i = 0; i < 4; i++) {
      table.find(id).pace().onStream(20, 20 * eventMs, NOW_MS);
    }
  }

  private void start(String id, int calls) {
    for (int i = 0; i < calls; i++) {
      table.find(id).onStart(NOW_MS);
    }
  }

  private Set<String> chosenIds() {
    Set<String> ids = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      ids.add(choose(SHORT_PROMPT).instance().id());
    }
    return ids;
  }

  @Test
  void usesSlowEngineWhenOthersFill() {
    reportPace("a0", 27);
    reportPace("a1", 27);
    reportPace("a2", 75);
    assertThat(chosenIds()).as("all engines are idle").containsExactlyInAnyOrder("a0", "a1");
    start("a0", 2);
    start("a1", 2);
    assertThat(chosenIds())
        .as("one request there takes as long as three elsewhere")
        .doesNotContain("a2");
    start("a0", 4);
    start("a1", 4);
    assertThat(chosenIds()).as("the fast engines are busy").containsExactly("a2");
  }

  @Test
  void newEngineHasMedianPace() {
    reportPace("a0", 27);
    reportPace("a1", 75);
    reportPace("b0", 27);
    start("a0", 1);
    assertThat(chosenIds()).containsExactly("a2");
  }

  @Test
  void ignoresPaceUnlessReported() {
    showPace("a0", 27);
    showPace("a1", 27);
    showPace("a2", 75);
    assertThat(chosenIds()).containsExactlyInAnyOrder("a0", "a1", "a2");
    start("a0", 1);
    start("a1", 1);
    assertThat(chosenIds()).containsExactly("a2");
  }

  /**
   * 62 engines, 22 of them 2.8 times slower, and 25 gateways; peaks come near the total capacity.
   */
  @Test
  void fewLateRequestsAtPeaks() {
    HeterogeneousEnginesSimulation.Result without =
        new HeterogeneousEnginesSimulation(1, false).run();
    HeterogeneousEnginesSimulation.Result with = new HeterogeneousEnginesSimulation(1, true).run();
    assertThat(without.lateShare()).isGreaterThan(0.04);
    assertThat(with.lateShare()).isLessThan(0.02);
    assertThat(with.servedBySlow()).as("slow engines are used").isGreaterThan(with.served() / 20);
    assertThat(with.lateAtSlow()).isLessThan(without.lateAtSlow() / 4);
  }
}
