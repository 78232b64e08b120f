package io.pathdeck.fleet.limit;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.TenantUse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

/**
 * Simulates one tenant's requests at many gateways that send heartbeats to one leader, in virtual
 * time.
 *
 * <p>Requests arrive at random gateways as a Poisson process. Admissions and refusals are counted
 * in sliding windows over all gateways.
 */
final class LimitSimulation {
  static final long WINDOW_MS = 5_000;
  private static final long HEARTBEAT_MS = 300;
  private static final long FIRST_STEP_MS = 2_000;

  /**
   * How gateways enforce the limit. {@code heartbeat} is called for each heartbeat that the leader
   * receives; {@code leaderResponds} tells whether a query about the request would be answered.
   */
  interface Strategy {
    boolean admit(int gateway, long nowMs, boolean leaderResponds);

    void heartbeat(int gateway, long nowMs);
  }

  /** Results of a run. The caller decides how far a window may exceed the limit. */
  record Outcome(int maxInWindow, int requests, int refused, int refusedWithinLimit) {
    double refusedWithinLimitShare() {
      return requests == 0 ? 0 : (double) refusedWithinLimit / requests;
    }
  }

  private final int gateways;
  private final CallerTenant tenant;
  private final Random random;
  private final double lossRate;
  private final long leaderDownFromMs;
  private final long leaderDownUntilMs;

  LimitSimulation(
      int gateways,
      CallerTenant tenant,
      long seed,
      double lossRate,
      long downFromMs,
      long downForMs) {
    this.gateways = gateways;
    this.tenant = tenant;
    this.random = new Random(seed);
    this.lossRate = lossRate;
    this.leaderDownFromMs = downFromMs;
    this.leaderDownUntilMs = downFromMs + downForMs;
  }

  private boolean leaderResponds(long nowMs) {
    boolean down = nowMs >= leaderDownFromMs && nowMs < leaderDownUntilMs;
    return !down && random.nextDouble() >= lossRate;
  }

  /** Simulates {@code durationMs} of traffic with a request rate that varies over time. */
  Outcome run(Strategy strategy, LongToDoubleFunction requestsPerSecond, long durationMs) {
    SlidingWindowCounter admitted = new SlidingWindowCounter(WINDOW_MS);
    SlidingWindowCounter requested = new SlidingWindowCounter(WINDOW_MS);
    double limit = tenant.maxRequestsIn(WINDOW_MS);
    int max = 0;
    int requests = 0;
    int refused = 0;
    int refusedWithinLimit = 0;
    long[] nextHeartbeat = random.longs(gateways, 0, HEARTBEAT_MS).toArray();
    for (long now = 0; now < durationMs; now++) {
      for (int gateway = 0; gateway < gateways; gateway++) {
        if (now >= nextHeartbeat[gateway]) {
          nextHeartbeat[gateway] = now + HEARTBEAT_MS;
          if (leaderResponds(now)) {
            strategy.heartbeat(gateway, now);
          }
        }
      }
      for (int i = arrivals(requestsPerSecond.applyAsDouble(now)); i > 0; i--) {
        requests++;
        requested.add(now);
        boolean withinLimit = requested.total(now) <= limit;
        if (strategy.admit(random.nextInt(gateways), now, leaderResponds(now))) {
          admitted.add(now);
        } else {
          refused++;
          refusedWithinLimit += withinLimit ? 1 : 0;
        }
      }
      max = Math.max(max, admitted.total(now));
    }
    return new Outcome(max, requests, refused, refusedWithinLimit);
  }

  private int arrivals(double perSecond) {
    double threshold = Math.exp(-perSecond / 1_000);
    int arrivals = 0;
    for (double product = random.nextDouble();
        product > threshold;
        product *= random.nextDouble()) {
      arrivals++;
    }
    return arrivals;
  }

  /** Returns traffic that alternates between a low and a high rate. */
  static LongToDoubleFunction steps(double lowRate, double highRate, long lowMs, long highMs) {
    return now ->
        now < FIRST_STEP_MS || (now - FIRST_STEP_MS) % (lowMs + highMs) < lowMs
            ? lowRate
            : highRate;
  }

  /** Each gateway enforces an equal, fixed share of the limit. */
  Strategy equalShares() {
    List<SlidingWindowCounter> counters = newCounters();
    double share = tenant.maxRequestsIn(WINDOW_MS) / gateways;
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderResponds) {
        boolean fits = counters.get(gateway).total(nowMs) + 1 <= share;
        if (fits) {
          counters.get(gateway).add(nowMs);
        }
        return fits;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {}
    };
  }

  /**
   * Each gateway admits while its own count plus the others' counts, as of its latest heartbeat, is
   * within the limit.
   */
  Strategy reportedSums() {
    List<SlidingWindowCounter> counters = newCounters();
    int[] reported = new int[gateways];
    int[] othersTotal = new int[gateways];
    double limit = tenant.maxRequestsIn(WINDOW_MS);
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderResponds) {
        boolean fits = othersTotal[gateway] + counters.get(gateway).total(nowMs) + 1 <= limit;
        if (fits) {
          counters.get(gateway).add(nowMs);
        }
        return fits;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {
        reported[gateway] = counters.get(gateway).total(nowMs);
        int sum = 0;
        for (int count : reported) {
          sum += count;
        }
        othersTotal[gateway] = sum - reported[gateway];
      }
    };
  }

  /** The production strategy: local admission until the tenant is contended. */
  Strategy leaderWhenContended() {
    TenantLedger ledger = new TenantLedger(WINDOW_MS);
    List<AdmissionController> controllers = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      controllers.add(new AdmissionController(WINDOW_MS, 0));
    }
    String name = tenant.name();
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderResponds) {
        AdmissionController controller = controllers.get(gateway);
        boolean admitted =
            switch (controller.decide(name, nowMs)) {
              case ADMIT -> true;
              case REFUSE, UNDECIDED -> false;
              case ASK_LEADER -> ask(controller, gateway, nowMs, leaderResponds);
            };
        if (admitted) {
          controller.onAdmitted(name, nowMs);
        }
        return admitted;
      }

      private boolean ask(
          AdmissionController controller, int gateway, long nowMs, boolean leaderResponds) {
        if (!leaderResponds) {
          return controller.mayAdmitWithoutLeader(name, nowMs);
        }
        boolean granted = ledger.tryAdmit("g" + gateway, 1, tenant, nowMs);
        if (!granted) {
          controller.onRefused(name, nowMs);
        }
        return granted;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {
        List<TenantUse> uses = controllers.get(gateway).tenantUses(nowMs);
        ledger.onHeartbeat("g" + gateway, 1, uses, nowMs);
        ledger.expire(nowMs);
        controllers
            .get(gateway)
            .onContendedTenants(ledger.contendedTenants(List.of(tenant)), nowMs);
      }
    };
  }

  private List<SlidingWindowCounter> newCounters() {
    List<SlidingWindowCounter> counters = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      counters.add(new SlidingWindowCounter(WINDOW_MS));
    }
    return counters;
  }
}
