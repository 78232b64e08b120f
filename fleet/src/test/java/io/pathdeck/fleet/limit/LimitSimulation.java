package io.pathdeck.fleet.limit;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.TenantUse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

/**
 * One tenant's requests at many gateways on virtual time, with heartbeats to one leader.
 *
 * <p>Requests come at random gateways as a Poisson process. What was admitted and what was refused
 * is judged by sliding windows over all gateways, as the tenant's contract counts.
 */
final class LimitSimulation {
  static final long WINDOW_MS = 5_000;
  private static final long HEARTBEAT_MS = 300;
  private static final long FIRST_STEP_MS = 2_000;

  /** One way of keeping the limit. */
  interface Strategy {
    boolean admit(int gateway, long nowMs, boolean leaderAnswers);

    void heartbeat(int gateway, long nowMs);
  }

  /** The contract: how far above the limit a window may be is the caller's matter. */
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
      int gateways, CallerTenant tenant, long seed, double lostShare, long goneMs, long goneForMs) {
    this.gateways = gateways;
    this.tenant = tenant;
    this.random = new Random(seed);
    this.lossRate = lostShare;
    this.leaderDownFromMs = goneMs;
    this.leaderDownUntilMs = goneMs + goneForMs;
  }

  private boolean leaderAnswers(long nowMs) {
    boolean gone = nowMs >= leaderDownFromMs && nowMs < leaderDownUntilMs;
    return !gone && random.nextDouble() >= lossRate;
  }

  /** Plays {@code durationMs} of traffic at a rate that changes with time. */
  Outcome run(Strategy way, LongToDoubleFunction requestsPerSecond, long durationMs) {
    SlidingWindowCounter admitted = new SlidingWindowCounter(WINDOW_MS);
    SlidingWindowCounter asked = new SlidingWindowCounter(WINDOW_MS);
    double limit = tenant.maxRequestsIn(WINDOW_MS);
    int most = 0;
    int count = 0;
    int refused = 0;
    int refusedInside = 0;
    long[] nextHeartbeat = random.longs(gateways, 0, HEARTBEAT_MS).toArray();
    for (long now = 0; now < durationMs; now++) {
      for (int gateway = 0; gateway < gateways; gateway++) {
        if (now >= nextHeartbeat[gateway]) {
          nextHeartbeat[gateway] = now + HEARTBEAT_MS;
          if (leaderAnswers(now)) {
            way.heartbeat(gateway, now);
          }
        }
      }
      for (int i = arrivals(requestsPerSecond.applyAsDouble(now)); i > 0; i--) {
        count++;
        asked.add(now);
        boolean inside = asked.total(now) <= limit;
        if (way.admit(random.nextInt(gateways), now, leaderAnswers(now))) {
          admitted.add(now);
        } else {
          refused++;
          refusedInside += inside ? 1 : 0;
        }
      }
      most = Math.max(most, admitted.total(now));
    }
    return new Outcome(most, count, refused, refusedInside);
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

  /** Traffic in steps: low, then high, by turns. */
  static LongToDoubleFunction steps(double low, double high, long lowMs, long highMs) {
    return now ->
        now < FIRST_STEP_MS || (now - FIRST_STEP_MS) % (lowMs + highMs) < lowMs ? low : high;
  }

  /** Each gateway has the same fixed share of the limit. */
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

  /** Each gateway admits on the sum of all windows as it was told last. */
  Strategy reportedSums() {
    List<SlidingWindowCounter> own = windows();
    int[] reported = new int[gateways];
    int[] toldOthers = new int[gateways];
    double limit = tenant.maxRequestsIn(WINDOW_MS);
    return new Strategy() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderAnswers) {
        boolean fits = toldOthers[gateway] + own.get(gateway).total(nowMs) + 1 <= limit;
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
        toldOthers[gateway] = sum - reported[gateway];
      }
    };
  }

  /** The code of the gateways and of the leader. */
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
