package io.pathdeck.common.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.Test;

class TestLatencyHistogram {
  private final LatencyHistogram histogram = new LatencyHistogram();

  @Test
  void bucketsAreCumulative() {
    for (long millis : new long[] {-1, 3, 80, 80, 190, 10_000_000}) {
      histogram.record(millis);
    }
    assertThat(histogram.count()).isEqualTo(6);
    assertThat(histogram.countUpTo(5)).isEqualTo(2);
    assertThat(histogram.countUpTo(100)).isEqualTo(4);
    assertThat(histogram.countUpTo(200)).isEqualTo(5);
  }

  @Test
  void bucketsArePublished() {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    histogram.bindTo(registry, "pathdeck.test.ms", Tags.of("kind", "stream"));
    histogram.record(40);
    assertThat(registry.scrape())
        .contains("pathdeck_test_ms_upto_total{kind=\"stream\",le_ms=\"50\"} 1")
        .contains("pathdeck_test_ms_upto_total{kind=\"stream\",le_ms=\"25\"} 0")
        .contains("pathdeck_test_ms_times_total{kind=\"stream\"} 1");
  }
}
