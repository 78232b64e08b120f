package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.DirectoryProtocol.Query;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Callers must be told of near gateways, and of none beyond the allowed regions of their host. */
class TestGatewayLocator {
  private static final Topology TOPOLOGY =
      Topology.of(
          Map.of(
              "a1", "north", "a2", "north", "b1", "east", "b2", "east", "c1", "south", "c2",
              "south"));
  private static final int GATEWAYS_IN_ZONE = 4;

  private final GatewayLocator locator = new GatewayLocator(new GatewaySelector(0.5), TOPOLOGY);
  private final Map<String, FleetProcess> gateways = new HashMap<>();
  private final List<RouteSpec> routes = new ArrayList<>();

  TestGatewayLocator() {
    for (String zone : TOPOLOGY.zones()) {
      for (int i = 0; i < GATEWAYS_IN_ZONE; i++) {
        setReady(zone + "-" + i, zone, true);
      }
    }
  }

  private void setReady(String name, String zone, boolean ready) {
    gateways.put(
        name, new FleetProcess(name, FleetRole.GATEWAY, zone, 0, 1, "", name + ":1", ready, 0));
  }

  private void stopGateways(String zone, int remaining) {
    for (int i = remaining; i < GATEWAYS_IN_ZONE; i++) {
      setReady(zone + "-" + i, zone, false);
    }
  }

  private void addRoute(String host, String prefix, String... allowedRegions) {
    routes.add(
        new RouteSpec(
            prefix,
            host,
            prefix,
            RouteKind.SAFE,
            1_000,
            100,
            0,
            List.of(new RouteTarget("s", 1)),
            1,
            false,
            false,
            0,
            0,
            0,
            0,
            true,
            List.of(allowedRegions)));
  }

  private Set<String> zonesNamed(String host, String zone) {
    RouteTable table =
        new RouteTable(
            1, routes, List.of(), CallerLimits.NONE, List.of(), new byte[0], new byte[0]);
    FleetView view =
        new FleetView(
            table,
            Map.of(),
            gateways,
            List.of(),
            List.of(),
            0,
            List.of(),
            QuarantineList.NONE,
            EvacuatedZones.NONE);
    Set<String> zones = new HashSet<>();
    locator
        .locate(view, new Query(host, TOPOLOGY.regionOf(zone), zone))
        .forEach(gateway -> zones.add(gateway.zone()));
    return zones;
  }

  @Test
  void namesZoneThenRegionThenTheRest() {
    assertThat(zonesNamed("h", "a1")).containsExactly("a1");
    stopGateways("a1", 1);
    assertThat(zonesNamed("h", "a1")).containsExactlyInAnyOrder("a1", "a2");
    stopGateways("a1", 0);
    stopGateways("a2", 1);
    assertThat(zonesNamed("h", "a1")).hasSizeGreaterThan(2);
  }

  @Test
  void namesRegionsThatTheRouteAllows() {
    addRoute("h", "/x/", "east");
    assertThat(zonesNamed("h", "b2")).containsExactly("b2");
    assertThat(zonesNamed("h", "a1")).isSubsetOf("b1", "b2");
    assertThat(zonesNamed("other", "a1")).containsExactly("a1");
  }

  /** A gateway of a region that one route does not allow would get that route's requests too. */
  @Test
  void namesRegionsThatAllRoutesOfTheHostAllow() {
    addRoute("h", "/x/", "east", "north");
    addRoute("h", "/y/", "east", "south");
    assertThat(zonesNamed("h", "a1")).isSubsetOf("b1", "b2");
  }

  @Test
  void namesCallersRegionIfNoAllowedGatewayIsReady() {
    addRoute("h", "/x/", "east");
    stopGateways("b1", 0);
    stopGateways("b2", 0);
    assertThat(zonesNamed("h", "a1")).containsExactly("a1");
    stopGateways("a1", 0);
    stopGateways("a2", 1);
    assertThat(zonesNamed("h", "a1")).containsExactly("a2");
    stopGateways("a2", 0);
    assertThat(zonesNamed("h", "a1")).isSubsetOf("c1", "c2").isNotEmpty();
  }

  /** At most 1 in 20 requests may be led elsewhere while the caller's region is well. */
  @Test
  void noAnswerNamesOtherRegionsWhileOneAllowedGatewayIsReady() {
    addRoute("h", "/x/", "east");
    stopGateways("b1", 0);
    stopGateways("b2", 1);
    for (String zone : TOPOLOGY.zones()) {
      assertThat(zonesNamed("h", zone)).as(zone).containsExactly("b2");
    }
  }
}
