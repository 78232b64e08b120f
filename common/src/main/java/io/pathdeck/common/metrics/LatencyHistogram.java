package io.pathdeck.common.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * A histogram of times in milliseconds, with an error of at most 1 in 100; longer times than
 * {@value #LONGEST_MS} ms count as that. Thread-safe.
 */
public final class LatencyHistogram {
  /** The upper bounds of the buckets that are published, in milliseconds. */
  static final long[] BUCKETS_MS = {5, 10, 25, 50, 100, 200, 400, 800, 1_600, 5_000, 30_000};

  private static final long LONGEST_MS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final ConcurrentHistogram histogram =
      new ConcurrentHistogram(LONGEST_MS, SIGNIFICANT_DIGITS);

  /** Records a time; a negative one counts as 0. */
  public void record(long millis) {
    histogram.recordValue(Math.max(0, Math.min(LONGEST_MS, millis)));
  }

  /** How many times were recorded. */
  public long count() {
    return histogram.getTotalCount();
  }

  /** How many recorded times are at most {@code boundMs}. */
  public long countUpTo(long boundMs) {
    return histogram.getCountBetweenValues(0, boundMs);
  }

  /** Publishes cumulative buckets as {@code NAME.upto} and the number of times. */
  public void bindTo(MeterRegistry registry, String name, Tags tags) {
    for (long bound : BUCKETS_MS) {
      FunctionCounter.builder(name + ".upto", this, held -> held.countUpTo(bound))
          .tags(tags.and("le_ms", Long.toString(bound)))
          .register(registry);
    }
    FunctionCounter.builder(name + ".times", this, LatencyHistogram::count)
        .tags(tags)
        .register(registry);
  }
}
