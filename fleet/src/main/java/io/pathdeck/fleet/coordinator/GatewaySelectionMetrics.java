package io.pathdeck.fleet.coordinator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Gauges of the number of gateways that the directory lists for callers, over all zones. */
final class GatewaySelectionMetrics {
  private static final String METRIC_NAME = "pathdeck.gateways.named";
  private static final String RULE_TAG = "by";

  private GatewaySelectionMetrics() {}

  /** Registers a gauge for zones with different sizes of gateways, and one for the other zones. */
  static void bind(MeterRegistry registry, Supplier<FleetView> view, GatewaySelector selector) {
    registerGauge(registry, "size", () -> countSelected(gateways(view.get()), selector, true));
    registerGauge(registry, "order", () -> countSelected(gateways(view.get()), selector, false));
  }

  /** Registers a gauge with a strong reference, since nothing else references {@code count}. */
  private static void registerGauge(MeterRegistry registry, String rule, Supplier<Number> count) {
    Gauge.builder(METRIC_NAME, count).tag(RULE_TAG, rule).strongReference(true).register(registry);
  }

  private static List<FleetProcess> gateways(FleetView view) {
    return view.withRole(FleetRole.GATEWAY);
  }

  /**
   * Counts the selected gateways of the zones where gateways differ in size if {@code bySize}, else
   * those of the other zones.
   */
  static int countSelected(List<FleetProcess> gateways, GatewaySelector selector, boolean bySize) {
    Map<String, List<FleetProcess>> readyByZone =
        gateways.stream()
            .filter(FleetProcess::ready)
            .collect(Collectors.groupingBy(FleetProcess::zone));
    return readyByZone.values().stream()
        .filter(zone -> GatewaySelector.differInSize(zone) == bySize)
        .mapToInt(zone -> selector.select(zone).size())
        .sum();
  }
}
