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
  interface Way {
    boolean admit(int gateway, long nowMs, boolean leaderAnswers);

    void heartbeat(int gateway, long nowMs);
  }

  /** The contract: how far above the limit a window may be is the caller's matter. */
  record Outcome(int mostInWindow, int asked, int refused, int refusedInsideLimit) {
    double refusedInsideShare() {
      return asked == 0 ? 0 : (double) refusedInsideLimit / asked;
    }
  }

  private final int gateways;
  private final CallerTenant tenant;
  private final Random random;
  private final double lostShare;
  private final long leaderGoneFromMs;
  private final long leaderGoneUntilMs;

  LimitSimulation(
      int gateways, CallerTenant tenant, long seed, double lostShare, long goneMs, long goneForMs) {
    this.gateways = gateways;
    this.tenant = tenant;
    this.random = new Random(seed);
    this.lostShare = lostShare;
    this.leaderGoneFromMs = goneMs;
    this.leaderGoneUntilMs = goneMs + goneForMs;
  }

  private boolean leaderAnswers(long nowMs) {
    boolean gone = nowMs >= leaderGoneFromMs && nowMs < leaderGoneUntilMs;
    return !gone && random.nextDouble() >= lostShare;
  }

  /** Plays {@code durationMs} of traffic at a rate that changes with time. */
  Outcome play(Way way, LongToDoubleFunction requestsPerSecond, long durationMs) {
    SlidingCount admitted = new SlidingCount(WINDOW_MS);
    SlidingCount asked = new SlidingCount(WINDOW_MS);
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
  Way equalShares() {
    List<SlidingCount> own = windows();
    double share = tenant.maxRequestsIn(WINDOW_MS) / gateways;
    return new Way() {
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
  Way toldSums() {
    List<SlidingCount> own = windows();
    int[] reported = new int[gateways];
    int[] toldOthers = new int[gateways];
    double limit = tenant.maxRequestsIn(WINDOW_MS);
    return new Way() {
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
  Way freeUntilContended() {
    TenantLedger ledger = new TenantLedger(WINDOW_MS);
    List<GatewayAdmissions> admissions = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      admissions.add(new GatewayAdmissions(WINDOW_MS, 0));
    }
    String name = tenant.name();
    return new Way() {
      @Override
      public boolean admit(int gateway, long nowMs, boolean leaderAnswers) {
        GatewayAdmissions own = admissions.get(gateway);
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

      private boolean ask(GatewayAdmissions own, int gateway, long nowMs, boolean leaderAnswers) {
        if (!leaderAnswers) {
          return own.mayAdmitUnanswered(name, nowMs);
        }
        boolean granted = ledger.tryAdmit("g" + gateway, 1, tenant, nowMs);
        if (!granted) {
          own.onRefused(name, nowMs);
        }
        return granted;
      }

      @Override
      public void heartbeat(int gateway, long nowMs) {
        List<TenantUse> uses = admissions.get(gateway).uses(nowMs);
        ledger.note("g" + gateway, 1, uses, nowMs);
        ledger.expire(nowMs);
        admissions.get(gateway).onTold(ledger.contended(List.of(tenant)), nowMs);
      }
    };
  }

  private List<SlidingCount> windows() {
    List<SlidingCount> windows = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      windows.add(new SlidingCount(WINDOW_MS));
    }
    return windows;
  }
}
