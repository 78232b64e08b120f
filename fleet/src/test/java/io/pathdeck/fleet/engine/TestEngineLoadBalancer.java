package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.RequestConstraints;
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
    return balancer
        .choose(table.usable("s", RequestConstraints.NONE, NOW_MS), prompt, NOW_MS)
        .orElseThrow();
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
    String otherId =
        listed.keySet().stream()
            .filter(id -> !id.equals(owner.instance().id()))
            .findFirst()
            .orElseThrow();
    listed.remove(otherId);
    table.update(listed);
    assertThat(choose(longPrompt("x"))).isEqualTo(owner);
    listed.remove(owner.instance().id());
    table.update(listed);
    assertThat(choose(longPrompt("x"))).isNotEqualTo(owner);
  }

  @Test
  void avoidsEngineWithPendingPrefill() {
    EngineState busyEngine = choose(SHORT_PROMPT);
    busyEngine.onPromptSent(20_000);
    for (int i = 0; i < 10; i++) {
      assertThat(choose(SHORT_PROMPT)).isNotEqualTo(busyEngine);
    }
  }

  @Test
  void skipsDrainingAndFailedEngines() {
    EngineState failedEngine = table.find("a0");
    failedEngine.onFailure(NOW_MS);
    assertThat(table.usable("s", RequestConstraints.NONE, NOW_MS))
        .doesNotContain(failedEngine)
        .hasSize(5);
    failedEngine.onDataReceived(NOW_MS);
    assertThat(table.usable("s", RequestConstraints.NONE, NOW_MS + 600)).contains(failedEngine);
    failedEngine.update(new EngineInstance("a0", "s", "h:1", "a", 10, true));
    assertThat(table.usable("s", RequestConstraints.NONE, NOW_MS + 600))
        .doesNotContain(failedEngine);
    assertThat(table.inService("s", RequestConstraints.NONE, NOW_MS)).doesNotContain(failedEngine);
  }

  @Test
  void unlistedEngineIsUnusable() {
    EngineState unlistedEngine = table.find("a0");
    table.update(Map.of());
    assertThat(unlistedEngine.isUsable(NOW_MS)).isFalse();
    assertThat(table.all()).isEmpty();
  }

  @Test
  void avoidsEngineAfterLongWaits() {
    EngineState slowEngine = choose(SHORT_PROMPT);
    for (int i = 0; i < 5; i++) {
      slowEngine.onFirstBytes(500, NOW_MS);
    }
    assertThat(choose(SHORT_PROMPT)).isNotEqualTo(slowEngine);
    assertThat(slowEngine.recentWaitMs(NOW_MS + 4_000)).isLessThan(5);
  }

  private void addPaceReportAndStreams(String id, long eventMs) {
    EngineState engine = table.find(id);
    engine.onLoadReport(new EngineLoadReport(0, 0, 10, EngineInstance.BORN_UNKNOWN, 100), NOW_MS);
    addStreams(id, eventMs);
  }

  private void addStreams(String id, long eventMs) {
    for (int i = 0; i < 4; i++) {
      table.find(id).pace().onStream(20, 20 * eventMs, NOW_MS);
    }
  }

  private void startCalls(String id, int calls) {
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
    addPaceReportAndStreams("a0", 27);
    addPaceReportAndStreams("a1", 27);
    addPaceReportAndStreams("a2", 75);
    assertThat(chosenIds()).as("all engines are idle").containsExactlyInAnyOrder("a0", "a1");
    startCalls("a0", 2);
    startCalls("a1", 2);
    assertThat(chosenIds())
        .as("one request there takes as long as three elsewhere")
        .doesNotContain("a2");
    startCalls("a0", 4);
    startCalls("a1", 4);
    assertThat(chosenIds()).as("the fast engines are busy").containsExactly("a2");
  }

  @Test
  void newEngineHasMedianPace() {
    addPaceReportAndStreams("a0", 27);
    addPaceReportAndStreams("a1", 75);
    addPaceReportAndStreams("b0", 27);
    startCalls("a0", 1);
    assertThat(chosenIds()).containsExactly("a2");
  }

  @Test
  void ignoresPaceUnlessReported() {
    addStreams("a0", 27);
    addStreams("a1", 27);
    addStreams("a2", 75);
    assertThat(chosenIds()).containsExactlyInAnyOrder("a0", "a1", "a2");
    startCalls("a0", 1);
    startCalls("a1", 1);
    assertThat(chosenIds()).containsExactly("a2");
  }

  /**
   * Reported pace must reduce late requests when peaks come near the total capacity of fast and
   * slow engines.
   */
  @Test
  void fewLateRequestsAtPeaks() {
    HeterogeneousEnginesSimulation.Result withoutReports =
        new HeterogeneousEnginesSimulation(1, false).run();
    HeterogeneousEnginesSimulation.Result withReports =
        new HeterogeneousEnginesSimulation(1, true).run();
    assertThat(withoutReports.lateShare()).isGreaterThan(0.04);
    assertThat(withReports.lateShare()).isLessThan(0.02);
    assertThat(withReports.servedBySlow())
        .as("slow engines are used")
        .isGreaterThan(withReports.served() / 20);
    assertThat(withReports.lateAtSlow()).isLessThan(withoutReports.lateAtSlow() / 4);
  }
}
