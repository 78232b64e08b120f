package io.pathdeck.fleet.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** The gateways together must not send a cold engine more than it takes in any second. */
class TestColdStartOverGateways {
  private static final int ENGINES = 34;
  private static final long RETURN_MS = 10_800;
  private static final long DURATION_MS = 17_500;

  /** When all gateways know that the engines have turned cold, unless they are cut off. */
  private static final long KNOWN_MS = 6_000;

  private static final long FLOOD_UNTIL_MS = 40_000;

  private static ColdFleetModel zoneReturns(int gateways, long seed) {
    return new ColdFleetModel(gateways, ENGINES, seed).enginesReturn(ENGINES / 3, 7_000, RETURN_MS);
  }

  private static ColdFleetModel allReturn(int gateways, long seed) {
    return new ColdFleetModel(gateways, ENGINES, seed).enginesReturn(ENGINES, 7_000, RETURN_MS);
  }

  /** Gateways join, restart, freeze and are cut off. */
  private static void addFaults(ColdFleetModel model, int gateways, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int gateway = 0; gateway < gateways; gateway++) {
      long fromMs = random.nextLong(KNOWN_MS, FLOOD_UNTIL_MS);
      long untilMs = fromMs + random.nextLong(200, 15_000);
      switch (random.nextInt(6)) {
        case 0 -> model.restart(gateway, 0, fromMs);
        case 1 -> model.restart(gateway, fromMs, untilMs);
        case 2 -> model.freeze(gateway, fromMs, untilMs);
        case 3 -> model.cut(gateway, fromMs, untilMs);
        default -> {}
      }
    }
  }

  /** Every gateway sends all that it may, for so long that each fault meets cold engines. */
  @Property(tries = 60)
  void limitHoldsWithFaults(
      @ForAll @IntRange(min = 1, max = 60) int gateways,
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    ColdFleetModel model =
        new ColdFleetModel(gateways, 2, seed)
            .withFlood()
            .withLoss(0.1)
            .enginesTurnCold(1_000, FLOOD_UNTIL_MS, KNOWN_MS);
    if (seed % 3 == 0) {
      model.withLeaderGone(KNOWN_MS + seed % 10_000, 500 + seed % 3_500);
    }
    addFaults(model, gateways, seed);
    ColdFleetModel.Outcome outcome = model.run(ColdStrategies.rankedShares(model), FLOOD_UNTIL_MS);
    assertThat(outcome.worstSecond())
        .as("%s gateways: %s", gateways, outcome)
        .isLessThanOrEqualTo(ColdFleetModel.COLD_PER_SECOND);
  }

  /** A gateway that was cut off must not go on beside one that joined meanwhile. */
  @Test
  void limitHoldsIfGatewayJoinsWhileAnotherIsCutOff() {
    limitHoldsWithFaults(17, 17_790);
  }

  @Test
  void withoutLimitReturningEnginesGetTooMuch() {
    ColdFleetModel model = allReturn(48, 1);
    assertThat(model.run(ColdStrategies.none(model), DURATION_MS).worstSecond())
        .isGreaterThan(ColdFleetModel.COLD_PER_SECOND);
  }

  /** What the engines can take is not refused, also when all of them are cold. */
  @Test
  void fleetOfColdEnginesServes() {
    ColdFleetModel limited = allReturn(48, 1);
    ColdFleetModel free = allReturn(48, 1);
    double refused =
        limited.run(ColdStrategies.rankedShares(limited), DURATION_MS).refusedPercent();
    double unavoidable = free.run(ColdStrategies.none(free), DURATION_MS).refusedPercent();
    assertThat(refused - unavoidable).isLessThan(1);
  }

  @Test
  void returningZoneTakesPart() {
    ColdFleetModel model = zoneReturns(48, 1);
    ColdFleetModel.Outcome outcome = model.run(ColdStrategies.rankedShares(model), DURATION_MS);
    assertThat(outcome.refused()).isZero();
    assertThat(outcome.sentCold()).isGreaterThan(50);
  }
}
