package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Plays online requests whose number swings between 0.4 and 1.9 of its mean every six seconds, and
 * batch items that are due 18 s after their submission, on engines that are taken to five sixths on
 * average. Checks what callers get.
 */
class TestMixedLoad {
  private static final int RUNS = 12;

  /** What callers of both kinds are promised on an ordinary day. */
  private static final double MAX_LATE_SHARE = 0.05;

  /** All processes lose their state once a day, and runs under way with it. */
  private static final double MAX_LATE_SHARE_WITH_CRASH = 0.1;

  private static final double FIRST_CRASH_AT_MS = 30_000;
  private static final double OUTAGE_MS = 3_000;

  /** Losses come at all phases of the demand. */
  private static final double PHASE_STEP_MS = 500;

  private static MixedLoadSimulation.Result simulate(IntToDoubleFunction lossAtMs) {
    MixedLoadSimulation.Result all = MixedLoadSimulation.Result.NONE;
    for (int day = 0; day < RUNS; day++) {
      double lossMs = lossAtMs.applyAsDouble(day);
      all = all.plus(new MixedLoadSimulation(day, lossMs, OUTAGE_MS).run());
    }
    return all;
  }

  @Test
  void peakRequestsAndItemsAreOnTime() {
    MixedLoadSimulation.Result callers = simulate(day -> MixedLoadSimulation.NO_CRASH);
    assertThat(callers.latePeakRequestShare()).isLessThan(MAX_LATE_SHARE);
    assertThat(callers.lateItemShare()).isLessThan(MAX_LATE_SHARE);
  }

  @Test
  void requestsAndItemsAreOnTimeAfterCrash() {
    MixedLoadSimulation.Result callers = simulate(day -> FIRST_CRASH_AT_MS + day * PHASE_STEP_MS);
    assertThat(callers.latePeakRequestShare()).isLessThan(MAX_LATE_SHARE_WITH_CRASH);
    assertThat(callers.lateItemShare()).isLessThan(MAX_LATE_SHARE_WITH_CRASH);
  }
}
