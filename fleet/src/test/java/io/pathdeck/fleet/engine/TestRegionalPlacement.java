package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineLoadBalancer.RegionPreference;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Requests must not cross to another region unless that saves a wait, and work that can wait must
 * not fill one region while another is idle.
 */
class TestRegionalPlacement {
  private static final int SLOTS = 10;
  private static final long NOW_MS = 1_000;
  private static final Prompt SHORT_PROMPT = new Prompt(600, "head", 150);
  private static final Topology TOPOLOGY =
      Topology.of(Map.of("a1", "north", "a2", "north", "b1", "east", "b2", "east", "c1", "south"));

  private final EngineTable table = new EngineTable(500);
  private final EngineLoadBalancer requests =
      new EngineLoadBalancer("a1", TOPOLOGY, RegionPreference.OWN_REGION_WHILE_FREE, 1);
  private final EngineLoadBalancer deferrableWork =
      new EngineLoadBalancer("a1", TOPOLOGY, RegionPreference.BALANCED, 1);

  TestRegionalPlacement() {
    Map<String, EngineInstance> engines = new HashMap<>();
    for (String zone : TOPOLOGY.zones()) {
      for (int i = 0; i < 3; i++) {
        String id = zone + "-" + i;
        engines.put(id, new EngineInstance(id, "s", "h:1", zone, SLOTS, false));
      }
    }
    table.update(engines);
  }

  private EngineInstance choose(EngineLoadBalancer balancer, Prompt prompt) {
    List<EngineState> usable = table.usable("s", RequestConstraints.NONE, NOW_MS);
    return balancer.choose(usable, prompt, NOW_MS).orElseThrow().engine().instance();
  }

  private String regionOfChoice(EngineLoadBalancer balancer) {
    return TOPOLOGY.regionOf(choose(balancer, SHORT_PROMPT).zone());
  }

  private void startCalls(String region, int callsOnEach) {
    for (EngineState engine : table.all()) {
      if (TOPOLOGY.regionOf(engine.instance().zone()).equals(region)) {
        for (int i = 0; i < callsOnEach; i++) {
          engine.onStart(NOW_MS);
        }
      }
    }
  }

  @Test
  void prefersZoneThenRegion() {
    assertThat(choose(requests, SHORT_PROMPT).zone()).isEqualTo("a1");
    for (EngineState engine : table.all()) {
      if (engine.instance().zone().equals("a1")) {
        for (int i = 0; i < 5; i++) {
          engine.onStart(NOW_MS);
        }
      }
    }
    assertThat(choose(requests, SHORT_PROMPT).zone()).isEqualTo("a2");
  }

  @Test
  void requestStaysInRegionWhileAnEngineIsFree() {
    startCalls("north", SLOTS - 1);
    assertThat(regionOfChoice(requests)).isEqualTo("north");
  }

  @Test
  void requestLeavesRegionWhenItWouldWait() {
    startCalls("north", SLOTS);
    assertThat(regionOfChoice(requests)).isNotEqualTo("north");
  }

  @Test
  void requestStaysWhenAllRegionsAreFull() {
    startCalls("north", SLOTS + 1);
    startCalls("east", SLOTS);
    startCalls("south", SLOTS);
    assertThat(regionOfChoice(requests)).isEqualTo("north");
  }

  @Test
  void requestLeavesRegionOfSlowEngines() {
    for (EngineState engine : table.all()) {
      if (TOPOLOGY.regionOf(engine.instance().zone()).equals("north")) {
        for (int i = 0; i < 5; i++) {
          engine.onFirstBytes(900, NOW_MS);
        }
      }
    }
    assertThat(regionOfChoice(requests)).isNotEqualTo("north");
  }

  @Test
  void workThatCanWaitLeavesBusierRegion() {
    startCalls("north", 3);
    assertThat(regionOfChoice(deferrableWork)).isEqualTo("north");
    startCalls("north", 2);
    assertThat(regionOfChoice(deferrableWork)).isNotEqualTo("north");
  }

  @Test
  void sharedPrefixHasOneOwnerInEachRegion() {
    for (String prefix : List.of("x", "y", "z")) {
      Prompt prompt = new Prompt(9_000, prefix, 6_300);
      Map<String, Set<String>> ownersByRegion = new HashMap<>();
      for (String zone : TOPOLOGY.zones()) {
        EngineLoadBalancer balancer =
            new EngineLoadBalancer(zone, TOPOLOGY, RegionPreference.OWN_REGION_WHILE_FREE, 5);
        EngineInstance owner = choose(balancer, prompt);
        assertThat(TOPOLOGY.regionOf(owner.zone())).isEqualTo(TOPOLOGY.regionOf(zone));
        ownersByRegion
            .computeIfAbsent(TOPOLOGY.regionOf(zone), region -> new HashSet<>())
            .add(owner.id());
      }
      assertThat(ownersByRegion.values()).as(prefix).allMatch(owners -> owners.size() == 1);
    }
  }
}
