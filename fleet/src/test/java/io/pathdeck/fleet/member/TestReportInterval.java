package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestReportInterval {
  private static final long START_NS = -5;

  private final ReportInterval interval = new ReportInterval(START_NS);

  private static long after(long ms) {
    return START_NS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  void processThatLacksTheLeadersListsAsksAgainSoon() {
    interval.onAnswered(after(10));
    assertThat(interval.intervalMs(false, after(20))).isEqualTo(ReportInterval.WAITING_MS);
    assertThat(interval.intervalMs(true, after(20))).isEqualTo(ReportInterval.USUAL_MS);
  }

  @Test
  void coordinatorsThatStartLateAreAskedSoonFromTheirFirstAnswerOn() {
    long lateMs = 3 * ReportInterval.WAITING_FOR_MS;
    assertThat(interval.intervalMs(false, after(lateMs))).isEqualTo(ReportInterval.USUAL_MS);
    interval.onAnswered(after(lateMs));
    assertThat(interval.intervalMs(false, after(lateMs))).isEqualTo(ReportInterval.WAITING_MS);
  }

  @Test
  void listThatIsMissingForLongLoadsTheLeaderAsUsual() {
    interval.onAnswered(after(10));
    interval.onAnswered(after(2_000));
    long endMs = 10 + ReportInterval.WAITING_FOR_MS;
    assertThat(interval.intervalMs(false, after(endMs - 1))).isEqualTo(ReportInterval.WAITING_MS);
    assertThat(interval.intervalMs(false, after(endMs))).isEqualTo(ReportInterval.USUAL_MS);
  }
}
