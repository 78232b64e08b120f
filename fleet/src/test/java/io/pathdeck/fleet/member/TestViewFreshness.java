package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestViewFreshness {
  private static final long START_NS = -5;

  /** In a process past its startup. */
  private final ViewFreshness freshness =
      new ViewFreshness(after(-ViewFreshness.STARTUP_PERIOD_MS));

  /** In a starting process. */
  private final ViewFreshness starting = new ViewFreshness(START_NS);

  private static long after(long ms) {
    return START_NS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  void unusableBeforeAnyAnswer() {
    assertThat(freshness.isUsable(START_NS)).isFalse();
    assertThat(freshness.isConfirmed(START_NS)).isFalse();
  }

  @Test
  void lastKnownIsBrieflyUsableButUnconfirmed() {
    freshness.onLastKnownReceived(START_NS);
    assertThat(freshness.isUsable(after(ViewFreshness.LAST_KNOWN_VALID_MS - 1))).isTrue();
    assertThat(freshness.isUsable(after(ViewFreshness.LAST_KNOWN_VALID_MS))).isFalse();
    assertThat(freshness.isConfirmed(START_NS)).isFalse();
  }

  @Test
  void leaderAnswerStaysUsableAfterConfirmationExpires() {
    freshness.onLastKnownReceived(START_NS);
    freshness.onLeaderAnswered(after(10));
    long laterMs = 10 + ViewFreshness.CONFIRMATION_VALID_MS;
    assertThat(freshness.isConfirmed(after(laterMs - 1))).isTrue();
    assertThat(freshness.isConfirmed(after(laterMs))).isFalse();
    assertThat(freshness.isUsable(after(100 * laterMs))).isTrue();
  }

  @Test
  void confirmationAgeCountsFromSendTime() {
    assertThat(freshness.isConfirmedWithin(2_500, START_NS)).isFalse();
    freshness.onLeaderAnswered(after(10));
    assertThat(freshness.isConfirmedWithin(2_500, after(2_509))).isTrue();
    assertThat(freshness.isConfirmedWithin(2_500, after(2_510))).isFalse();
    freshness.onLastKnownReceived(after(2_600));
    assertThat(freshness.isConfirmedWithin(2_500, after(2_610))).isFalse();
  }

  @Test
  void repetitionDoesNotExtendValidityAfterStartup() {
    freshness.onLastKnownReceived(START_NS);
    long lastMs = ViewFreshness.LAST_KNOWN_VALID_MS - 1;
    freshness.onLastKnownReceived(after(lastMs));
    assertThat(freshness.isUsable(after(lastMs))).isTrue();
    assertThat(freshness.isUsable(after(lastMs + 1))).isFalse();
  }

  private void assertUsableWhileRepeated(long firstMs, long endMs) {
    for (long ms = firstMs; ms < endMs; ms += ViewFreshness.LAST_KNOWN_REPEAT_TIMEOUT_MS - 1) {
      starting.onLastKnownReceived(after(ms));
      long untilMs = Math.min(ms + ViewFreshness.LAST_KNOWN_REPEAT_TIMEOUT_MS, endMs);
      assertThat(starting.isUsable(after(untilMs - 1))).isTrue();
    }
    starting.onLastKnownReceived(after(endMs - 1));
    assertThat(starting.isUsable(after(endMs))).isFalse();
    assertThat(starting.isConfirmed(after(endMs - 1))).isFalse();
  }

  @Test
  void repetitionExtendsValidityDuringStartup() {
    assertUsableWhileRepeated(500, 500 + ViewFreshness.LAST_KNOWN_MAX_MS);
  }

  @Test
  void repeatedLastKnownExpiresAfterStartup() {
    long endMs = ViewFreshness.STARTUP_PERIOD_MS;
    assertUsableWhileRepeated(endMs - ViewFreshness.LAST_KNOWN_MAX_MS + 100, endMs);
  }

  @Test
  void lastKnownExpiresWithoutRepetition() {
    starting.onLastKnownReceived(START_NS);
    long endMs = ViewFreshness.LAST_KNOWN_REPEAT_TIMEOUT_MS;
    assertThat(starting.isUsable(after(endMs - 1))).isTrue();
    assertThat(starting.isUsable(after(endMs))).isFalse();
  }

  @Test
  void startProgressReportsPhaseAndAge() {
    assertThat(starting.startProgress(START_NS, after(30)))
        .isEqualTo(new StartProgress(StartProgress.Phase.NO_COORDINATOR, 30));
    starting.onLastKnownReceived(after(40));
    starting.onLastKnownReceived(after(60));
    assertThat(starting.startProgress(START_NS, after(70)))
        .isEqualTo(new StartProgress(StartProgress.Phase.NO_LEADER, 30));
    starting.onLeaderAnswered(after(100));
    starting.onLeaderAnswered(after(110));
    assertThat(starting.startProgress(START_NS, after(120)))
        .isEqualTo(new StartProgress(StartProgress.Phase.LIST_MISSING, 20));
  }
}
