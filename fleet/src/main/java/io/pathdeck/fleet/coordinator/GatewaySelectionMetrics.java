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

/** How many gateways callers of all zones are told of, as a metric of a coordinator. */
final class GatewaySelectionMetrics {
  private static final String METRIC_NAME = "pathdeck.gateways.named";
  private static final String RULE_TAG = "by";

  private GatewaySelectionMetrics() {}

  /** Publishes the counts of what {@code naming} names of the gateways in {@code view}. */
  static void bind(MeterRegistry registry, Supplier<FleetView> view, GatewaySelector naming) {
    bind(registry, "size", () -> countSelected(gateways(view.get()), naming, true));
    bind(registry, "order", () -> countSelected(gateways(view.get()), naming, false));
  }

  /** Holds {@code count}, of which nobody else keeps a reference. */
  private static void bind(MeterRegistry registry, String by, Supplier<Number> count) {
    Gauge.builder(METRIC_NAME, count).tag(RULE_TAG, by).strongReference(true).register(registry);
  }

  private static List<FleetProcess> gateways(FleetView view) {
    return view.withRole(FleetRole.GATEWAY);
  }

  /** The gateways named in the zones whose gateways differ in size, or in those where not. */
  static int countSelected(List<FleetProcess> gateways, GatewaySelector naming, boolean bySize) {
    Map<String, List<FleetProcess>> readyByZone =
        gateways.stream()
            .filter(FleetProcess::ready)
            .collect(Collectors.groupingBy(FleetProcess::zone));
    return readyByZone.values().stream()
        .filter(zone -> GatewaySelector.differInSize(zone) == bySize)
        .mapToInt(zone -> naming.select(zone).size())
        .sum();
  }
}
