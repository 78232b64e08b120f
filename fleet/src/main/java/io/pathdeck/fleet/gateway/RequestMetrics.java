package io.pathdeck.fleet.gateway;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.pathdeck.common.metrics.LatencyHistogram;
import io.pathdeck.protocol.fleet.RouteKind;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What a gateway counts of its callers' requests, by the kind of their route. Thread-safe. */
final class RequestMetrics {
  /** How a request ended. */
  enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    CALLER_LEFT
  }

  /** One kind of route. */
  private static final class OfKind {
    final Map<Outcome, LongAdder> ended = new EnumMap<>(Outcome.class);
    final LatencyHistogram firstMs = new LatencyHistogram();
    final LatencyHistogram totalMs = new LatencyHistogram();

    OfKind() {
      for (Outcome outcome : Outcome.values()) {
        ended.put(outcome, new LongAdder());
      }
    }
  }

  private final Map<RouteKind, OfKind> kinds = new EnumMap<>(RouteKind.class);
  private final LongAdder attempts = new LongAdder();
  private final QueueMetrics queue = new QueueMetrics();
  private final MemoryMetrics memory = new MemoryMetrics();

  RequestMetrics() {
    for (RouteKind kind : RouteKind.values()) {
      kinds.put(kind, new OfKind());
    }
  }

  /** What is counted of requests that wait. */
  QueueMetrics queue() {
    return queue;
  }

  /** What is counted of the memory that is kept for callers. */
  MemoryMetrics memory() {
    return memory;
  }

  void onAttempt() {
    attempts.increment();
  }

  void onServed(RouteKind kind, long firstMs, long totalMs) {
    onEnd(kind, Outcome.SERVED);
    kinds.get(kind).firstMs.record(firstMs);
    kinds.get(kind).totalMs.record(totalMs);
  }

  void onEnd(RouteKind kind, Outcome outcome) {
    kinds.get(kind).ended.get(outcome).increment();
  }

  void bindTo(MeterRegistry registry) {
    FunctionCounter.builder("pathdeck.attempts", attempts, LongAdder::sum).register(registry);
    queue.bindTo(registry);
    memory.bindTo(registry);
    kinds.forEach((kind, counts) -> bindKind(registry, kind, counts));
  }

  private static void bindKind(MeterRegistry registry, RouteKind kind, OfKind counts) {
    Tags tags = Tags.of("kind", lower(kind));
    counts.ended.forEach(
        (outcome, count) ->
            FunctionCounter.builder("pathdeck.requests", count, LongAdder::sum)
                .tags(tags.and("outcome", lower(outcome)))
                .register(registry));
    counts.firstMs.bindTo(registry, "pathdeck.request.first.ms", tags);
    counts.totalMs.bindTo(registry, "pathdeck.request.total.ms", tags);
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
