package io.pathdeck.serving.api;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Metrics of online requests. */
public final class NodeMetrics {
  private final MeterRegistry registry;
  private final Timer firstToken;
  private final Counter tokens;
  private final Counter resumed;

  /** Registers the metrics. */
  public NodeMetrics(MeterRegistry registry) {
    this.registry = registry;
    this.firstToken =
        Timer.builder("pathdeck_first_token_seconds")
            .description("time from the arrival of a request to its first token")
            .publishPercentiles(0.5, 0.95, 0.99)
            .distributionStatisticExpiry(Duration.ofMinutes(1))
            .register(registry);
    this.tokens = registry.counter("pathdeck_tokens");
    this.resumed = registry.counter("pathdeck_streams_resumed");
  }

  void recordFirstToken(long sinceArrivalNs) {
    firstToken.record(sinceArrivalNs, TimeUnit.NANOSECONDS);
  }

  void recordTokens(int count) {
    tokens.increment(count);
  }

  void recordResumedStream() {
    resumed.increment();
  }

  void recordOutcome(String outcome) {
    registry.counter("pathdeck_requests", "outcome", outcome).increment();
  }
}
