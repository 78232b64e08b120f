package io.pathdeck.common.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventCounts;

/** The metrics that every process has: its events, the lines it did not write and its heap. */
public final class ProcessMetrics {
  private ProcessMetrics() {}

  /** Publishes the metrics. */
  public static void bindTo(MeterRegistry registry, EventCounts counts) {
    for (EventCode code : EventCode.values()) {
      FunctionCounter.builder("pathdeck.events", counts, held -> held.happened(code))
          .tag("event", code.label())
          .register(registry);
    }
    FunctionCounter.builder("pathdeck.log.lines.left.out", counts, EventCounts::linesLeftOut)
        .register(registry);
    FunctionCounter.builder("pathdeck.log.lines.dropped", counts, EventCounts::linesDropped)
        .register(registry);
    Runtime runtime = Runtime.getRuntime();
    Gauge.builder(
            "pathdeck.heap.used.bytes", runtime, held -> held.totalMemory() - held.freeMemory())
        .register(registry);
  }
}
