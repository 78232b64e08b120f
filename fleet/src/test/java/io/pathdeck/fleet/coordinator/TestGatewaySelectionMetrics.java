package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class TestGatewaySelectionMetrics {
  private static final GatewaySelector HALF_SELECTOR = new GatewaySelector(0.5);

  private static List<FleetProcess> zone(String zone, int count, double cores, boolean ready) {
    List<FleetProcess> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = zone + cores + ready + i;
      gateways.add(
          new FleetProcess(name, FleetRole.GATEWAY, zone, 0, 1, "", "h:1", ready, 0, cores));
    }
    return gateways;
  }

  @Test
  void countsEachZoneByItsSelectionRule() {
    List<FleetProcess> gateways = zone("a", 4, 1, true);
    gateways.addAll(zone("a", 13, 0.25, true));
    gateways.addAll(zone("b", 20, 0.25, true));
    assertThat(GatewaySelectionMetrics.countSelected(gateways, HALF_SELECTOR, true)).isEqualTo(4);
    assertThat(GatewaySelectionMetrics.countSelected(gateways, HALF_SELECTOR, false)).isEqualTo(10);
  }

  @Test
  void ignoresGatewaysThatAreNotReady() {
    List<FleetProcess> gateways = zone("a", 4, 1, false);
    gateways.addAll(zone("a", 13, 0.25, true));
    assertThat(GatewaySelectionMetrics.countSelected(gateways, HALF_SELECTOR, true)).isZero();
    assertThat(GatewaySelectionMetrics.countSelected(gateways, HALF_SELECTOR, false)).isEqualTo(7);
  }

  @Test
  void gaugesSurviveGarbageCollection() {
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    GatewaySelectionMetrics.bind(
        registry, new AtomicReference<>(FleetView.EMPTY)::get, HALF_SELECTOR);
    System.gc();
    for (String by : List.of("size", "order")) {
      assertThat(registry.get("pathdeck.gateways.named").tag("by", by).gauge().value()).isZero();
    }
  }
}
