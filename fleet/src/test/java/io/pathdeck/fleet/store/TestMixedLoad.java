package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Simulates online requests whose rate alternates between 0.4 and 1.9 times its mean with a period
 * of six seconds, and batch items that are due 18 s after submission, at a mean engine utilization
 * of five sixths. Guards against late responses and items.
 */
class TestMixedLoad {
  private static final int RUNS = 12;

  /** Applies to peak requests and to items, without a crash. */
  private static final double MAX_LATE_SHARE = 0.05;

  /**
   * With one crash per run, in which the gateways and the store lose their state and their calls.
   */
  private static final double MAX_LATE_SHARE_WITH_CRASH = 0.1;

  private static final double FIRST_CRASH_AT_MS = 30_000;
  private static final double OUTAGE_MS = 3_000;

  /**
   * Difference between the crash times of successive runs; crashes occur in all phases of the load.
   */
  private static final double PHASE_STEP_MS = 500;

  private static MixedLoadResult simulate(IntToDoubleFunction crashAtMs) {
    MixedLoadResult total = MixedLoadResult.NONE;
    for (int run = 0; run < RUNS; run++) {
      double crashMs = crashAtMs.applyAsDouble(run);
      total = total.plus(new MixedLoadSimulation(run, crashMs, OUTAGE_MS).run());
    }
    return total;
  }

  @Test
  void peakRequestsAndItemsAreOnTime() {
    MixedLoadResult result = simulate(run -> MixedLoadSimulation.NO_CRASH);
    assertThat(result.latePeakRequestShare()).isLessThan(MAX_LATE_SHARE);
    assertThat(result.lateItemShare()).isLessThan(MAX_LATE_SHARE);
  }

  @Test
  void requestsAndItemsAreOnTimeAfterCrash() {
    MixedLoadResult result = simulate(run -> FIRST_CRASH_AT_MS + run * PHASE_STEP_MS);
    assertThat(result.latePeakRequestShare()).isLessThan(MAX_LATE_SHARE_WITH_CRASH);
    assertThat(result.lateItemShare()).isLessThan(MAX_LATE_SHARE_WITH_CRASH);
  }
}
