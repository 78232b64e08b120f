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

/** Gauges of the number of gateways that a coordinator lists for callers, over all zones. */
final class GatewaySelectionMetrics {
  private static final String METRIC_NAME = "pathdeck.gateways.named";
  private static final String RULE_TAG = "by";

  private GatewaySelectionMetrics() {}

  /** Registers gauges of the gateways that {@code selector} selects from {@code view}. */
  static void bind(MeterRegistry registry, Supplier<FleetView> view, GatewaySelector selector) {
    bind(registry, "size", () -> countSelected(gateways(view.get()), selector, true));
    bind(registry, "order", () -> countSelected(gateways(view.get()), selector, false));
  }

  /** Registers a gauge with a strong reference, since nothing else references {@code count}. */
  private static void bind(MeterRegistry registry, String rule, Supplier<Number> count) {
    Gauge.builder(METRIC_NAME, count).tag(RULE_TAG, rule).strongReference(true).register(registry);
  }

  private static List<FleetProcess> gateways(FleetView view) {
    return view.withRole(FleetRole.GATEWAY);
  }

  /**
   * Counts the gateways selected in zones where sizes differ, or in the other zones if {@code
   * bySize} is false.
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
