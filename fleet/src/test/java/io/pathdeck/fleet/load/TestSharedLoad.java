package io.pathdeck.fleet.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.load.LoadSimulation.Conditions;
import io.pathdeck.fleet.load.LoadSimulation.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Without shared counts, requests in load peaks wait at full engines while others have free slots.
 */
class TestSharedLoad {
  private static final int SEEDS = 5;

  /** Sums over several seeds; the received rate is the maximum. */
  private static Outcome run(int gateways, boolean shareLoad, double lossRate, boolean oneCrashes) {
    int requests = 0;
    int foundFull = 0;
    double receivedPerS = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Outcome outcome =
          LoadSimulation.run(new Conditions(gateways, shareLoad, lossRate, oneCrashes, seed));
      requests += outcome.requests();
      foundFull += outcome.foundFull();
      receivedPerS = Math.max(receivedPerS, outcome.receivedPerS());
    }
    return new Outcome(requests, foundFull, receivedPerS);
  }

  @ParameterizedTest
  @CsvSource({"4, 0, false", "4, 0.05, true", "12, 0, false", "12, 0.05, true", "40, 0.05, true"})
  void sharingHalvesRequestsToFullEngines(int gateways, double lossRate, boolean oneCrashes) {
    Outcome alone = run(gateways, false, 0, oneCrashes);
    Outcome shared = run(gateways, true, lossRate, oneCrashes);
    assertThat(shared.foundFullShare()).isLessThan(alone.foundFullShare() / 2);
    assertThat(shared.receivedPerS()).isLessThanOrEqualTo(200);
  }
}
