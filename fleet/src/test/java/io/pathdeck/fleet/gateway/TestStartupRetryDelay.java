package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.member.StartProgress;
import io.pathdeck.fleet.member.StartProgress.Phase;
import org.junit.jupiter.api.Test;

class TestStartupRetryDelay {
  private static final long NO_TIMEOUT_MS = 0;
  private static final long LONG_AGE_MS = 60_000;

  private static long retryAfterMs(Phase phase, long ageMs, long callerTimeoutMs, double random) {
    return StartupRetryDelay.retryAfterMs(new StartProgress(phase, ageMs), callerTimeoutMs, random);
  }

  @Test
  void delaysAreSpreadAfterExpectedStart() {
    long earliestMs = retryAfterMs(Phase.NO_COORDINATOR, 400, NO_TIMEOUT_MS, 0);
    long latestMs = retryAfterMs(Phase.NO_COORDINATOR, 400, NO_TIMEOUT_MS, 1);
    assertThat(earliestMs).isEqualTo(StartupRetryDelay.TYPICAL_STARTUP_MS - 400);
    assertThat(latestMs).isEqualTo(earliestMs + StartupRetryDelay.JITTER_MS);
  }

  @Test
  void laterPhasesHaveShorterDelays() {
    long noCoordinatorMs = retryAfterMs(Phase.NO_COORDINATOR, 0, NO_TIMEOUT_MS, 0.5);
    long noLeaderMs = retryAfterMs(Phase.NO_LEADER, 0, NO_TIMEOUT_MS, 0.5);
    long listMissingMs = retryAfterMs(Phase.LIST_MISSING, 0, NO_TIMEOUT_MS, 0.5);
    assertThat(noLeaderMs).isLessThan(noCoordinatorMs);
    assertThat(listMissingMs).isLessThan(noLeaderMs);
  }

  @Test
  void slowStartKeepsMinimumDelay() {
    for (Phase phase : new Phase[] {Phase.NO_COORDINATOR, Phase.NO_LEADER}) {
      assertThat(retryAfterMs(phase, LONG_AGE_MS, NO_TIMEOUT_MS, 0))
          .isEqualTo(StartupRetryDelay.MIN_DELAY_MS);
    }
  }

  @Test
  void delayIsBoundedByDeadline() {
    long callerTimeoutMs = 3_000;
    long usableMs = callerTimeoutMs / 3;
    assertThat(retryAfterMs(Phase.NO_COORDINATOR, 0, callerTimeoutMs, 1)).isEqualTo(usableMs);
    assertThat(retryAfterMs(Phase.NO_COORDINATOR, 0, callerTimeoutMs, 0))
        .isBetween(usableMs * 3 / 4, usableMs - 1);
    assertThat(retryAfterMs(Phase.LIST_MISSING, 0, 1, 0)).isPositive();
  }
}
