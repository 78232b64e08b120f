package io.pathdeck.fleet.limit;

import io.pathdeck.protocol.fleet.CallerTenant;
import java.util.List;
import java.util.Locale;

/** Prints a comparison of three limit strategies for docs/design/tenant-limits.md. */
final class LimitStrategyTable {
  private static final long DURATION_MS = 40_000;
  private static final long SEED = 7;

  private LimitStrategyTable() {}

  public static void main(String[] args) {
    for (int gateways : new int[] {10, 47, 300}) {
      for (double rate : new double[] {3, 30, 92}) {
        for (double load : new double[] {0.8, 2, 4}) {
          printRows(gateways, new CallerTenant("t", List.of(), 0, rate, rate), load * rate);
        }
      }
    }
  }

  private static void printRows(int gateways, CallerTenant tenant, double meanRate) {
    for (String name : List.of("equal shares", "reported sums", "leader when contended")) {
      LimitSimulation simulation =
          new LimitSimulation(gateways, tenant, SEED, 0, Long.MAX_VALUE / 2, 0);
      LimitSimulation.Strategy strategy =
          switch (name) {
            case "equal shares" -> simulation.equalShares();
            case "reported sums" -> simulation.reportedSums();
            default -> simulation.leaderWhenContended();
          };
      LimitSimulation.Outcome outcome =
          simulation.run(
              strategy,
              LimitSimulation.steps(0.38 * meanRate, 1.87 * meanRate, 3_400, 2_400),
              DURATION_MS);
      System.out.printf(
          Locale.ROOT,
          "| %d | %.0f | %.1f | %s | %d | %.1f |%n",
          gateways,
          tenant.requestsPerSecond(),
          meanRate / tenant.requestsPerSecond(),
          name,
          outcome.maxInWindow(),
          100 * outcome.refusedWithinLimitShare());
    }
  }
}
