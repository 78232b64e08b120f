package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestViewFreshness {
  /** Negative, as values of {@link System#nanoTime} may be. */
  private static final long START_NS = -5;

  private final ViewFreshness afterStartup =
      new ViewFreshness(after(-ViewFreshness.STARTUP_PERIOD_MS));

  private final ViewFreshness duringStartup = new ViewFreshness(START_NS);

  private static long after(long ms) {
    return START_NS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  private static Moment at(long ms) {
    return new Moment(after(ms), ms);
  }

  @Test
  void unusableBeforeAnyAnswer() {
    assertThat(afterStartup.isUsable(START_NS)).isFalse();
    assertThat(afterStartup.isConfirmed(at(0))).isFalse();
  }

  @Test
  void lastKnownIsBrieflyUsableButUnconfirmed() {
    afterStartup.onLastKnownReceived(START_NS);
    assertThat(afterStartup.isUsable(after(ViewFreshness.LAST_KNOWN_VALID_MS - 1))).isTrue();
    assertThat(afterStartup.isUsable(after(ViewFreshness.LAST_KNOWN_VALID_MS))).isFalse();
    assertThat(afterStartup.isConfirmed(at(0))).isFalse();
  }

  @Test
  void leaderAnswerStaysUsableAfterConfirmationExpires() {
    afterStartup.onLastKnownReceived(START_NS);
    afterStartup.onLeaderAnswered(at(10));
    long laterMs = 10 + ViewFreshness.CONFIRMATION_VALID_MS;
    assertThat(afterStartup.isConfirmed(at(laterMs - 1))).isTrue();
    assertThat(afterStartup.isConfirmed(at(laterMs))).isFalse();
    assertThat(afterStartup.isUsable(after(100 * laterMs))).isTrue();
  }

  @Test
  void confirmationAgeCountsFromSendTime() {
    assertThat(afterStartup.isConfirmedWithin(2_500, at(0))).isFalse();
    afterStartup.onLeaderAnswered(at(10));
    assertThat(afterStartup.isConfirmedWithin(2_500, at(2_509))).isTrue();
    assertThat(afterStartup.isConfirmedWithin(2_500, at(2_510))).isFalse();
    afterStartup.onLastKnownReceived(after(2_600));
    assertThat(afterStartup.isConfirmedWithin(2_500, at(2_610))).isFalse();
  }

  /** A leader that has been replaced meanwhile may have answered the earlier report. */
  @Test
  void answerToAnEarlierReportIsOvertaken() {
    assertThat(afterStartup.isOvertaken(at(0))).isFalse();
    afterStartup.onLeaderAnswered(at(10));
    assertThat(afterStartup.isOvertaken(at(9))).isTrue();
    assertThat(afterStartup.isOvertaken(at(10))).isFalse();
  }

  @Test
  void repetitionDoesNotExtendValidityAfterStartup() {
    afterStartup.onLastKnownReceived(START_NS);
    long lastMs = ViewFreshness.LAST_KNOWN_VALID_MS - 1;
    afterStartup.onLastKnownReceived(after(lastMs));
    assertThat(afterStartup.isUsable(after(lastMs))).isTrue();
    assertThat(afterStartup.isUsable(after(lastMs + 1))).isFalse();
  }

  private void assertUsableWhileRepeated(long firstMs, long endMs) {
    for (long ms = firstMs; ms < endMs; ms += ViewFreshness.LAST_KNOWN_REPEAT_TIMEOUT_MS - 1) {
      duringStartup.onLastKnownReceived(after(ms));
      long untilMs = Math.min(ms + ViewFreshness.LAST_KNOWN_REPEAT_TIMEOUT_MS, endMs);
      assertThat(duringStartup.isUsable(after(untilMs - 1))).isTrue();
    }
    duringStartup.onLastKnownReceived(after(endMs - 1));
    assertThat(duringStartup.isUsable(after(endMs))).isFalse();
    assertThat(duringStartup.isConfirmed(at(endMs - 1))).isFalse();
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
    duringStartup.onLastKnownReceived(START_NS);
    long endMs = ViewFreshness.LAST_KNOWN_REPEAT_TIMEOUT_MS;
    assertThat(duringStartup.isUsable(after(endMs - 1))).isTrue();
    assertThat(duringStartup.isUsable(after(endMs))).isFalse();
  }

  @Test
  void startProgressReportsPhaseAndAge() {
    assertThat(duringStartup.startProgress(START_NS, after(30)))
        .isEqualTo(new StartProgress(StartProgress.Phase.NO_COORDINATOR, 30));
    duringStartup.onLastKnownReceived(after(40));
    duringStartup.onLastKnownReceived(after(60));
    assertThat(duringStartup.startProgress(START_NS, after(70)))
        .isEqualTo(new StartProgress(StartProgress.Phase.NO_LEADER, 30));
    duringStartup.onLeaderAnswered(at(100));
    duringStartup.onLeaderAnswered(at(110));
    assertThat(duringStartup.startProgress(START_NS, after(120)))
        .isEqualTo(new StartProgress(StartProgress.Phase.LIST_MISSING, 20));
  }

  @Test
  void reportIsOverdueAfterSuspensionUntilOneSentSinceHasEnded() {
    assertThat(afterStartup.isReportOverdue(at(ViewFreshness.REPORT_OVERDUE_MS))).isFalse();
    afterStartup.onReportEnded(at(0));
    assertThat(afterStartup.isReportOverdue(at(ViewFreshness.REPORT_OVERDUE_MS - 1))).isFalse();
    assertThat(afterStartup.isReportOverdue(at(ViewFreshness.REPORT_OVERDUE_MS))).isTrue();
    afterStartup.onReportEnded(at(1));
    assertThat(afterStartup.isReportOverdue(at(ViewFreshness.REPORT_OVERDUE_MS + 1))).isTrue();
    afterStartup.onReportEnded(at(ViewFreshness.REPORT_OVERDUE_MS));
    assertThat(afterStartup.isReportOverdue(at(ViewFreshness.REPORT_OVERDUE_MS + 1))).isFalse();
    afterStartup.onReportEnded(at(1));
    assertThat(afterStartup.isReportOverdue(at(ViewFreshness.REPORT_OVERDUE_MS + 1))).isFalse();
  }

  /** The steady clock of a suspended machine may stand still, also under a report's answer. */
  @Test
  void suspendedMachineConfirmsNothing() {
    Moment sent = at(10);
    afterStartup.onReportEnded(sent);
    afterStartup.onLeaderAnswered(sent);
    afterStartup.onEnginesConfirmed(sent);
    Moment resumed = new Moment(after(20), 20 + ViewFreshness.REPORT_OVERDUE_MS);
    assertThat(afterStartup.isConfirmed(resumed)).isFalse();
    assertThat(afterStartup.areEnginesConfirmedWithin(600, resumed)).isFalse();
    assertThat(afterStartup.isReportOverdue(resumed)).isTrue();
    afterStartup.onEnginesConfirmed(resumed);
    assertThat(afterStartup.areEnginesConfirmedWithin(600, resumed)).isTrue();
  }

  @Test
  void timeOfDayThatIsSetBackConfirmsNothingForLonger() {
    afterStartup.onEnginesConfirmed(at(10));
    assertThat(afterStartup.areEnginesConfirmedWithin(600, new Moment(after(609), -90_000)))
        .isTrue();
    assertThat(afterStartup.areEnginesConfirmedWithin(600, new Moment(after(610), -90_000)))
        .isFalse();
  }
}
