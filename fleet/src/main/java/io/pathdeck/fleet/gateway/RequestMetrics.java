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

/** Metrics of callers' requests, by kind of route. Thread-safe. */
final class RequestMetrics {
  enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    CALLER_LEFT
  }

  /** Metrics of one kind of route. */
  private static final class KindMetrics {
    final Map<Outcome, LongAdder> outcomes = new EnumMap<>(Outcome.class);
    final LatencyHistogram timeToFirstByteMs = new LatencyHistogram();
    final LatencyHistogram totalMs = new LatencyHistogram();

    KindMetrics() {
      for (Outcome outcome : Outcome.values()) {
        outcomes.put(outcome, new LongAdder());
      }
    }
  }

  private final Map<RouteKind, KindMetrics> kinds = new EnumMap<>(RouteKind.class);
  private final LongAdder attempts = new LongAdder();
  private final QueueMetrics queue = new QueueMetrics();
  private final MemoryMetrics memory = new MemoryMetrics();
  private final StreamMetrics streams = new StreamMetrics();
  private final JobReadFailures jobReadFailures = new JobReadFailures();

  RequestMetrics() {
    for (RouteKind kind : RouteKind.values()) {
      kinds.put(kind, new KindMetrics());
    }
  }

  QueueMetrics queue() {
    return queue;
  }

  MemoryMetrics memory() {
    return memory;
  }

  StreamMetrics streams() {
    return streams;
  }

  JobReadFailures jobReadFailures() {
    return jobReadFailures;
  }

  void onAttempt() {
    attempts.increment();
  }

  void onServed(RouteKind kind, long timeToFirstByteMs, long totalMs) {
    onEnd(kind, Outcome.SERVED);
    kinds.get(kind).timeToFirstByteMs.record(timeToFirstByteMs);
    kinds.get(kind).totalMs.record(totalMs);
  }

  void onEnd(RouteKind kind, Outcome outcome) {
    kinds.get(kind).outcomes.get(outcome).increment();
  }

  void bindTo(MeterRegistry registry) {
    FunctionCounter.builder("pathdeck.attempts", attempts, LongAdder::sum).register(registry);
    queue.bindTo(registry);
    memory.bindTo(registry);
    streams.bindTo(registry);
    jobReadFailures.bindTo(registry);
    kinds.forEach((kind, counts) -> bindKind(registry, kind, counts));
  }

  private static void bindKind(MeterRegistry registry, RouteKind kind, KindMetrics counts) {
    Tags tags = Tags.of("kind", lowerCase(kind));
    counts.outcomes.forEach(
        (outcome, count) ->
            FunctionCounter.builder("pathdeck.requests", count, LongAdder::sum)
                .tags(tags.and("outcome", lowerCase(outcome)))
                .register(registry));
    counts.timeToFirstByteMs.bindTo(registry, "pathdeck.request.first.ms", tags);
    counts.totalMs.bindTo(registry, "pathdeck.request.total.ms", tags);
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
