package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * The interval between the reports of a process.
 *
 * <p>A process that has no lists from a leader yet reports more often, since callers of a starting
 * fleet wait for it. This lasts for a few seconds only, so that a fleet whose list of engines stays
 * unreadable does not overload its leader with reports.
 */
final class ReportInterval {
  /** Interval of a process that follows a leader, or whose fast period is over. */
  static final long NORMAL_INTERVAL_MS = 300;

  /** Some round trips of 2 to 6 ms, and a quarter of a usual latency objective of 300 ms. */
  static final long FAST_INTERVAL_MS = 80;

  /** Some elections of up to 1,200 ms each, and a read of the list of engines. */
  static final long FAST_PERIOD_MS = 5_000;

  private final long startNs;
  private boolean everAnswered;
  private long firstAnsweredNs;

  /** Creates the interval of a starting process. */
  ReportInterval(long startNs) {
    this.startNs = startNs;
  }

  /** Records an answer of a coordinator. */
  void onAnswered(long nowNs) {
    if (!everAnswered) {
      everAnswered = true;
      firstAnsweredNs = nowNs;
    }
  }

  /**
   * Returns the time until the next report; {@code followsLeader} if a leader's lists are known.
   */
  long intervalMs(boolean followsLeader, long nowNs) {
    long sinceNs = everAnswered ? firstAnsweredNs : startNs;
    boolean inFastPeriod = nowNs - sinceNs < TimeUnit.MILLISECONDS.toNanos(FAST_PERIOD_MS);
    return !followsLeader && inFastPeriod ? FAST_INTERVAL_MS : NORMAL_INTERVAL_MS;
  }
}
