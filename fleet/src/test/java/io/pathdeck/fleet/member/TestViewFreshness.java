package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestViewFreshness {
  private static final long START_NS = -5;

  private final ViewFreshness freshness = new ViewFreshness();

  private static long after(long ms) {
    return START_NS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  void nothingMayBeActedOnBeforeAnythingWasTold() {
    assertThat(freshness.isUsable(START_NS)).isFalse();
    assertThat(freshness.isConfirmed(START_NS)).isFalse();
  }

  @Test
  void whatWasKnownLastIsActedOnForAMomentAndNeverCountsAsConfirmed() {
    freshness.onLastKnownTold(START_NS);
    assertThat(freshness.isUsable(after(ViewFreshness.LAST_KNOWN_VALID_MS - 1))).isTrue();
    assertThat(freshness.isUsable(after(ViewFreshness.LAST_KNOWN_VALID_MS))).isFalse();
    assertThat(freshness.isConfirmed(START_NS)).isFalse();
  }

  @Test
  void whatALeaderToldIsActedOnForGoodAndCountsAsConfirmedForAWhile() {
    freshness.onLastKnownTold(START_NS);
    freshness.onLeaderAnswered(after(10));
    long laterMs = 10 + ViewFreshness.CONFIRMED_MS;
    assertThat(freshness.isConfirmed(after(laterMs - 1))).isTrue();
    assertThat(freshness.isConfirmed(after(laterMs))).isFalse();
    assertThat(freshness.isUsable(after(100 * laterMs))).isTrue();
  }
}
