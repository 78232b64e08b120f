package io.pathdeck.fleet.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.TenantUse;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Limits across gateways must not be exceeded, and few requests within them may be refused. */
class TestTenantLimits {
  private static final long NEVER_MS = Long.MAX_VALUE / 2;
  private static final long DURATION_MS = 40_000;
  private static final long WINDOW_MS = LimitSimulation.WINDOW_MS;

  /** Admitted requests may exceed the limit by 10 percent plus {@link #EXCESS_REQUESTS}. */
  private static final double MAX_LIMIT_FACTOR = 1.1;

  private static final double EXCESS_REQUESTS = 20;

  private static final int SEEDS = 5;

  private static CallerTenant tenant(double perSecond, double burst) {
    return new CallerTenant("t", List.of(), 0, perSecond, burst);
  }

  private static double maxAllowed(CallerTenant tenant) {
    return tenant.maxRequestsIn(WINDOW_MS) * MAX_LIMIT_FACTOR + EXCESS_REQUESTS;
  }

  private static LimitSimulation withoutFaults(int gateways, CallerTenant tenant, long seed) {
    return new LimitSimulation(gateways, tenant, seed, 0, NEVER_MS, 0);
  }

  private static LongToDoubleFunction steps(double meanRate) {
    return LimitSimulation.steps(0.38 * meanRate, 1.87 * meanRate, 3_400, 2_400);
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 47, 300})
  void fewRequestsWithinLimitAreRefused(int gateways) {
    for (double rate : new double[] {3, 30, 92}) {
      CallerTenant tenant = tenant(rate, rate);
      int requests = 0;
      int refusedWithinLimit = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        LimitSimulation simulation = withoutFaults(gateways, tenant, seed);
        LimitSimulation.Outcome outcome =
            simulation.run(simulation.leaderWhenContended(), steps(0.8 * rate), DURATION_MS);
        requests += outcome.requests();
        refusedWithinLimit += outcome.refusedWithinLimit();
      }
      assertThat(refusedWithinLimit)
          .as(
              "%s gateways, rate %s: refused within the limit, of %s requests",
              gateways, rate, requests)
          .isLessThanOrEqualTo(requests / 200);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 47, 300})
  void floodingTenantStaysWithinLimit(int gateways) {
    for (double rate : new double[] {3, 30, 92}) {
      for (double loadFactor : new double[] {2, 4}) {
        CallerTenant tenant = tenant(rate, rate);
        LimitSimulation simulation = withoutFaults(gateways, tenant, gateways);
        LimitSimulation.Outcome outcome =
            simulation.run(simulation.leaderWhenContended(), steps(loadFactor * rate), DURATION_MS);
        assertThat((double) outcome.maxInWindow())
            .as("%s gateways, rate %s, flood %s: %s", gateways, rate, loadFactor, outcome)
            .isLessThanOrEqualTo(maxAllowed(tenant));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 47, 300})
  void limitHoldsDuringLeaderOutageAndLoss(int gateways) {
    CallerTenant tenant = tenant(30, 30);
    LimitSimulation simulation = new LimitSimulation(gateways, tenant, 1, 0.1, 14_000, 4_000);
    LimitSimulation.Outcome outcome =
        simulation.run(simulation.leaderWhenContended(), steps(60), DURATION_MS);
    assertThat((double) outcome.maxInWindow())
        .as("%s gateways: %s", gateways, outcome)
        .isLessThanOrEqualTo(maxAllowed(tenant));
  }

  /**
   * Fixed shares per gateway refuse requests within the limit, and reported sums let a flood exceed
   * it.
   */
  @Test
  void simplerStrategiesRefuseTooMuchOrExceedLimit() {
    CallerTenant tenant = tenant(30, 30);
    LimitSimulation normal = withoutFaults(47, tenant, 1);
    LimitSimulation.Outcome shares = normal.run(normal.equalShares(), steps(24), DURATION_MS);
    LimitSimulation flood = withoutFaults(47, tenant, 1);
    LimitSimulation.Outcome sums = flood.run(flood.reportedSums(), steps(120), DURATION_MS);
    assertThat(shares.refusedWithinLimitShare()).isGreaterThan(1.0 / 20);
    assertThat((double) sums.maxInWindow()).isGreaterThan(maxAllowed(tenant));
  }

  @Test
  void newLeaderRecoversFromOneHeartbeatRound() {
    CallerTenant tenant = tenant(2, 0);
    TenantLedger ledger = new TenantLedger(WINDOW_MS);
    ledger.onHeartbeat("a", 1, List.of(new TenantUse("t", 8)), 0);
    ledger.onHeartbeat("b", 1, List.of(new TenantUse("t", 4)), 0);
    assertThat(ledger.tryAdmit("a", 1, tenant, 1)).isFalse();
    assertThat(ledger.contendedTenants(List.of(tenant))).containsExactly("t");
  }

  @Test
  void lostGatewayCountsForOneWindow() {
    TenantLedger ledger = new TenantLedger(WINDOW_MS);
    ledger.onHeartbeat("a", 1, List.of(new TenantUse("t", 6)), 0);
    ledger.expire(WINDOW_MS);
    assertThat(ledger.admittedRequests("t")).isEqualTo(6);
    ledger.expire(WINDOW_MS + 1);
    assertThat(ledger.admittedRequests("t")).isZero();
  }

  @Test
  void previousIncarnationStaysCountedAfterRestart() {
    TenantLedger ledger = new TenantLedger(WINDOW_MS);
    ledger.onHeartbeat("a", 1, List.of(new TenantUse("t", 6)), 0);
    ledger.onHeartbeat("a", 2, List.of(new TenantUse("t", 1)), 100);
    assertThat(ledger.admittedRequests("t")).isEqualTo(7);
  }

  @Test
  void grantsCountUntilNextHeartbeat() {
    CallerTenant tenant = tenant(2, 0);
    TenantLedger ledger = new TenantLedger(WINDOW_MS);
    ledger.onHeartbeat("a", 1, List.of(new TenantUse("t", 10)), 0);
    assertThat(ledger.tryAdmit("a", 1, tenant, 1)).isTrue();
    assertThat(ledger.tryAdmit("a", 1, tenant, 2)).isTrue();
    assertThat(ledger.tryAdmit("a", 1, tenant, 3)).isFalse();
    ledger.onHeartbeat("a", 1, List.of(new TenantUse("t", 12)), 4);
    assertThat(ledger.admittedRequests("t")).isEqualTo(12);
  }
}
