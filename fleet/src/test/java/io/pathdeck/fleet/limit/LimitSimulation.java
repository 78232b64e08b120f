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
 * <p>Requests arrive at random gateways as a Poisson process. Admissions and refusals are evaluated
 * in sliding windows over all gateways, as the tenant's contract defines them.
 */
final class LimitSimulation {
  static final long WINDOW_MS = 5_000;
  private static final long HEARTBEAT_MS = 300;
  private static final long FIRST_STEP_MS = 2_000;

  /** A strategy to enforce the limit. */
  interface Strategy {
    boolean admit(int gateway, long nowMs, boolean leaderAnswers);

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

  private boolean leaderAnswers(long nowMs) {
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
          if (leaderAnswers(now)) {
            strategy.heartbeat(gateway, now);
          }
        }
      }
      for (int i = arrivals(requestsPerSecond.applyAsDouble(now)); i > 0; i--) {
        requests++;
        requested.add(now);
        boolean withinLimit = requested.total(now) <= limit;
        if (strategy.admit(random.nextInt(gateways), now, leaderAnswers(now))) {
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
  static LongToDoubleFunction steps(double low, double high, long lowMs, long highMs) {
    return now ->
        now < FIRST_STEP_MS || (now - FIRST_STEP_MS) % (lowMs + highMs) < lowMs ? low : high;
  }

  /** Each gateway enforces an equal, fixed share of the limit. */
  Strategy equalShares() {
    List<SlidingWindowCounter> own = windows();
    double share = tenant.maxRequestsIn(WINDOW_MS) / gateways;
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderAnswers) {
        boolean fits = own.get(gateway).total(nowMs) + 1 <= share;
        if (fits) {
          own.get(gateway).add(nowMs);
        }
        return fits;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {}
    };
  }

  /** Each gateway admits by the sum of all windows in its latest heartbeat reply. */
  Strategy reportedSums() {
    List<SlidingWindowCounter> own = windows();
    int[] reported = new int[gateways];
    int[] othersTotal = new int[gateways];
    double limit = tenant.maxRequestsIn(WINDOW_MS);
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderAnswers) {
        boolean fits = othersTotal[gateway] + own.get(gateway).total(nowMs) + 1 <= limit;
        if (fits) {
          own.get(gateway).add(nowMs);
        }
        return fits;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {
        reported[gateway] = own.get(gateway).total(nowMs);
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
    List<AdmissionController> admissions = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      admissions.add(new AdmissionController(WINDOW_MS, 0));
    }
    String name = tenant.name();
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderAnswers) {
        AdmissionController own = admissions.get(gateway);
        boolean admitted =
            switch (own.decide(name, nowMs)) {
              case ADMIT -> true;
              case REFUSE, UNDECIDED -> false;
              case ASK_LEADER -> ask(own, gateway, nowMs, leaderAnswers);
            };
        if (admitted) {
          own.onAdmitted(name, nowMs);
        }
        return admitted;
      }

      private boolean ask(AdmissionController own, int gateway, long nowMs, boolean leaderAnswers) {
        if (!leaderAnswers) {
          return own.mayAdmitWithoutLeader(name, nowMs);
        }
        boolean granted = ledger.tryAdmit("g" + gateway, 1, tenant, nowMs);
        if (!granted) {
          own.onRefused(name, nowMs);
        }
        return granted;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {
        List<TenantUse> uses = admissions.get(gateway).tenantUses(nowMs);
        ledger.onHeartbeat("g" + gateway, 1, uses, nowMs);
        ledger.expire(nowMs);
        admissions.get(gateway).onContendedTenants(ledger.contended(List.of(tenant)), nowMs);
      }
    };
  }

  private List<SlidingWindowCounter> windows() {
    List<SlidingWindowCounter> windows = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      windows.add(new SlidingWindowCounter(WINDOW_MS));
    }
    return windows;
  }
}
