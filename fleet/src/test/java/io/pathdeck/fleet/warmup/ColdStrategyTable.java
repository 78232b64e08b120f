package io.pathdeck.fleet.warmup;

import java.util.List;
import java.util.Locale;

/** Prints a comparison of ways to keep the limit for docs/design/cold-engines.md. */
final class ColdStrategyTable {
  private static final long SEED = 7;
  private static final long DURATION_MS = 17_500;

  /** In a crest of the traffic, after each gateway has been listed for some time. */
  private static final long RETURN_MS = 10_800;

  private ColdStrategyTable() {}

  public static void main(String[] args) {
    int largest = args.length > 0 ? Integer.parseInt(args[0]) : Integer.MAX_VALUE;
    for (int engines : new int[] {34, 4_500}) {
      for (int gateways : new int[] {10, 48, 300}) {
        if (engines <= largest) {
          print(gateways, engines, "zone returns", engines / 3, 0);
          print(gateways, engines, "all return", engines, 0);
        }
      }
    }
    print(48, 34, "zone returns, messages lost, leader gone", 34 / 3, 0.1);
    print(48, 34, "all return, messages lost, leader gone", 34, 0.1);
  }

  private static ColdFleetModel model(int gateways, int engines, int returning, double loss) {
    ColdFleetModel model = new ColdFleetModel(gateways, engines, SEED).withLoss(loss);
    model.enginesReturn(returning, 7_000, RETURN_MS);
    if (loss > 0) {
      model.withLeaderGone(RETURN_MS + 900, 4_000);
    }
    return model;
  }

  private static void print(
      int gateways, int engines, String scenario, int returning, double loss) {
    for (String name :
        List.of("none", "fixed shares", "6 owners", "grants", "told in zone", "ranked shares")) {
      ColdFleetModel model = model(gateways, engines, returning, loss);
      ColdFleetModel.Strategy strategy =
          switch (name) {
            case "none" -> ColdStrategies.none(model);
            case "fixed shares" -> ColdStrategies.fixedShares(model);
            case "6 owners" -> ColdStrategies.owners(model, 6);
            case "grants" -> ColdStrategies.grants(model);
            case "told in zone" -> ColdStrategies.toldInZone(model);
            default -> ColdStrategies.rankedShares(model);
          };
      ColdFleetModel.Outcome outcome = model.run(strategy, DURATION_MS);
      System.out.printf(
          Locale.ROOT,
          "| %d | %d | %s | %s | %d | %.1f | %d |%n",
          gateways,
          engines,
          scenario,
          name,
          outcome.worstSecond(),
          outcome.refusedPercent(),
          outcome.sentCold());
    }
  }
}
