package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestReportInterval {
  /** Negative, as values of {@link System#nanoTime} may be. */
  private static final long START_NS = -5;

  private final ReportInterval interval = new ReportInterval(START_NS);

  private static long after(long ms) {
    return START_NS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  void reportsFastUntilLeaderListsAreKnown() {
    interval.onAnswered(after(10));
    assertThat(interval.intervalMs(false, after(20))).isEqualTo(ReportInterval.FAST_INTERVAL_MS);
    assertThat(interval.intervalMs(true, after(20))).isEqualTo(ReportInterval.NORMAL_INTERVAL_MS);
  }

  @Test
  void fastPhaseRestartsAtFirstAnswer() {
    long lateMs = 3 * ReportInterval.FAST_PHASE_MS;
    assertThat(interval.intervalMs(false, after(lateMs)))
        .isEqualTo(ReportInterval.NORMAL_INTERVAL_MS);
    interval.onAnswered(after(lateMs));
    assertThat(interval.intervalMs(false, after(lateMs)))
        .isEqualTo(ReportInterval.FAST_INTERVAL_MS);
  }

  @Test
  void returnsToNormalIntervalAfterFastPhase() {
    interval.onAnswered(after(10));
    interval.onAnswered(after(2_000));
    long endMs = 10 + ReportInterval.FAST_PHASE_MS;
    assertThat(interval.intervalMs(false, after(endMs - 1)))
        .isEqualTo(ReportInterval.FAST_INTERVAL_MS);
    assertThat(interval.intervalMs(false, after(endMs)))
        .isEqualTo(ReportInterval.NORMAL_INTERVAL_MS);
  }
}
