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
final class NamedGateways {
  private static final String NAME = "pathdeck.gateways.named";
  private static final String LABEL = "by";

  private NamedGateways() {}

  /** Publishes the counts of what {@code naming} names of the gateways in {@code view}. */
  static void bind(MeterRegistry registry, Supplier<FleetView> view, GatewayNaming naming) {
    bind(registry, "size", () -> count(gateways(view.get()), naming, true));
    bind(registry, "order", () -> count(gateways(view.get()), naming, false));
  }

  /** Holds {@code count}, of which nobody else keeps a reference. */
  private static void bind(MeterRegistry registry, String by, Supplier<Number> count) {
    Gauge.builder(NAME, count).tag(LABEL, by).strongReference(true).register(registry);
  }

  private static List<FleetProcess> gateways(FleetView view) {
    return view.withRole(FleetRole.GATEWAY);
  }

  /** The gateways named in the zones whose gateways differ in size, or in those where not. */
  static int count(List<FleetProcess> gateways, GatewayNaming naming, boolean bySize) {
    Map<String, List<FleetProcess>> readyByZone =
        gateways.stream()
            .filter(FleetProcess::ready)
            .collect(Collectors.groupingBy(FleetProcess::zone));
    return readyByZone.values().stream()
        .filter(zone -> GatewayNaming.differInSize(zone) == bySize)
        .mapToInt(zone -> naming.choose(zone).size())
        .sum();
  }
}
