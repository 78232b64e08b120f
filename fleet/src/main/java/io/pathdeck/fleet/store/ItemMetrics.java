package io.pathdeck.fleet.store;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.function.Function;

/** Registers the metrics of batch items that wait for an engine. */
final class ItemMetrics {
  private ItemMetrics() {}

  static void bindTo(MeterRegistry registry, Function<WaitReason, ItemWaits.Count> counts) {
    for (WaitReason reason : WaitReason.values()) {
      String tag = reason.name().toLowerCase(Locale.ROOT);
      Gauge.builder("pathdeck.items.waiting", () -> counts.apply(reason).items())
          .tag("reason", tag)
          .register(registry);
      Gauge.builder("pathdeck.items.longest.wait.ms", () -> counts.apply(reason).longestMs())
          .tag("reason", tag)
          .register(registry);
    }
  }
}
