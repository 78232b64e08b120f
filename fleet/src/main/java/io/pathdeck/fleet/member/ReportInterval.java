package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * After what time a process reports itself again.
 *
 * <p>A process that cannot serve yet, or serves by what a coordinator knew before its restart,
 * should hear soon of a leader and its lists: callers of a fleet that starts wait for it. This
 * lasts for a few seconds only, so that a fleet whose list of engines cannot be read for long does
 * not load its leader with reports.
 */
final class ReportInterval {
  /** The interval of a process that follows a leader, and of one that has waited for long. */
  static final long NORMAL_INTERVAL_MS = 300;

  /** Some round trips of 2 to 6 ms, and a quarter of a usual objective of callers of 300 ms. */
  static final long FAST_INTERVAL_MS = 80;

  /** Some elections of up to 1,200 ms each, and a read of the list of engines. */
  static final long FAST_PERIOD_MS = 5_000;

  private final long startNs;
  private boolean everAnswered;
  private long firstAnsweredNs;

  /** Begins with a process that knows nothing. */
  ReportInterval(long startNs) {
    this.startNs = startNs;
  }

  /** A coordinator has answered. */
  void onAnswered(long nowNs) {
    if (!everAnswered) {
      everAnswered = true;
      firstAnsweredNs = nowNs;
    }
  }

  /** The time until the next report; {@code followsLeader} when a leader's lists are known. */
  long intervalMs(boolean followsLeader, long nowNs) {
    long sinceNs = everAnswered ? firstAnsweredNs : startNs;
    boolean soon = nowNs - sinceNs < TimeUnit.MILLISECONDS.toNanos(FAST_PERIOD_MS);
    return !followsLeader && soon ? FAST_INTERVAL_MS : NORMAL_INTERVAL_MS;
  }
}
