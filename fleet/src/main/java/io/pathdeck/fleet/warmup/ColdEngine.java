package io.pathdeck.fleet.warmup;

import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * How long one life of an engine is cold, and what this process has sent it.
 *
 * <p>The list of engines is some time behind. For that time, what an engine says itself, and what
 * follows from its start, its return or the end of an evacuation, goes before a list that shows it
 * warm.
 */
final class ColdEngine {
  /** The most that a list may be behind: its own delay, the time between reads and reports. */
  static final long LIST_DELAY_MS = 2_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** The share of the sends that is available at once to an engine that turns cold. */
  private static final double FIRST_SHARE = 1.0 / 3;

  /** The limits after an engine has turned warm, as multiples of the limit while it is cold. */
  private static final double[] WARM_STEPS = {1.5, 2, 3};

  private static final long WARM_STEP_MS = 500;
  private static final long REPORT_RETRY_MS = 200;
  private static final int UNLIMITED = Integer.MAX_VALUE;

  private final long hash;
  private final SendWindow sends = new SendWindow();
  private long listedLeftMs = -1;
  private long coldSinceMs = NEVER;
  private long coldUntilMs = NEVER;
  private long assumedAtMs = NEVER;
  private boolean isDown;
  private long bornMs;
  private long reportedAtMs = NEVER;
  private long reportRequestedAtMs = NEVER;
  private long rankVersion = -1;
  private int rank;

  ColdEngine(EngineInstance engine) {
    this.hash = GatewayShares.hash(engine.lifeId());
    this.bornMs = engine.bornMs();
  }

  SendWindow sends() {
    return sends;
  }

  boolean isCold(long nowMs) {
    return nowMs < coldUntilMs;
  }

  /** Returns the remaining cold time; 0 if the engine is warm. */
  long coldLeftMs(long nowMs) {
    return Math.max(0, coldUntilMs - nowMs);
  }

  /** Counts the engine as cold for {@code coldStartMs} unless told otherwise. */
  void assumeCold(long coldStartMs, long nowMs) {
    assumedAtMs = nowMs;
    setColdUntil(Math.max(coldUntilMs, nowMs + coldStartMs), nowMs);
  }

  /** Applies what the engine says itself. */
  void onTold(long leftMs, long nowMs) {
    assumedAtMs = leftMs > 0 ? nowMs : NEVER;
    setColdUntil(nowMs + leftMs, nowMs);
  }

  /** Applies the list of engines; a value that it repeats is no news. */
  void onListed(long leftMs, long nowMs) {
    boolean isNews = leftMs != listedLeftMs;
    listedLeftMs = leftMs;
    boolean maybeOutdated = leftMs == 0 && nowMs - assumedAtMs < LIST_DELAY_MS;
    if (isNews && !maybeOutdated) {
      setColdUntil(nowMs + leftMs, nowMs);
    }
  }

  /** Applies a report; returns whether it comes from a later life than the last known one. */
  boolean onReport(long reportedBornMs, long nowMs) {
    reportedAtMs = nowMs;
    if (reportedBornMs == EngineInstance.BORN_UNKNOWN) {
      return false;
    }
    boolean isOtherLife = bornMs != EngineInstance.BORN_UNKNOWN && bornMs != reportedBornMs;
    bornMs = reportedBornMs;
    return isOtherLife;
  }

  /** Whether the cold time ended after {@code sinceMs} and the engine has not reported since. */
  boolean isUnheardSinceCold(long sinceMs) {
    return coldUntilMs > sinceMs && reportedAtMs < coldUntilMs;
  }

  /** Returns whether a report is to be requested now; limits the rate of requests. */
  boolean takeReportRequest(long nowMs) {
    boolean isDue = nowMs - reportRequestedAtMs >= REPORT_RETRY_MS;
    reportRequestedAtMs = isDue ? nowMs : reportRequestedAtMs;
    return isDue;
  }

  private void setColdUntil(long untilMs, long nowMs) {
    boolean wasCold = isCold(nowMs);
    if (untilMs > nowMs) {
      coldSinceMs = wasCold ? coldSinceMs : nowMs;
      coldUntilMs = untilMs;
    } else if (wasCold) {
      coldUntilMs = nowMs;
    }
  }

  void onDown() {
    isDown = true;
  }

  /** Returns whether the engine was down until now; it counts as back from here on. */
  boolean takeDown() {
    boolean wasDown = isDown;
    isDown = false;
    return wasDown;
  }

  /** Returns the most requests that the engine may get from all gateways in a window. */
  int limit(ColdRule rule, long nowMs) {
    if (isCold(nowMs)) {
      return coldLimit(rule, nowMs);
    }
    long step = (nowMs - coldUntilMs) / WARM_STEP_MS;
    return step < WARM_STEPS.length
        ? (int) Math.round(rule.requests() * WARM_STEPS[(int) step])
        : UNLIMITED;
  }

  /** Returns that limit for an engine that is, or may still be, cold. */
  int coldLimit(ColdRule rule, long nowMs) {
    double progress = (double) (nowMs - coldSinceMs) / rule.windowMs();
    double available = FIRST_SHARE + (1 - FIRST_SHARE) * progress;
    return (int) Math.max(1, Math.floor(rule.requests() * Math.min(1, available)));
  }

  /** Returns the part of {@code limit} that this gateway may send. */
  int share(int limit, GatewayShares shares) {
    if (limit == UNLIMITED) {
      return UNLIMITED;
    }
    if (rankVersion != shares.version()) {
      rankVersion = shares.version();
      rank = shares.rank(hash);
    }
    return GatewayShares.share(limit, rank, shares.gateways());
  }
}
