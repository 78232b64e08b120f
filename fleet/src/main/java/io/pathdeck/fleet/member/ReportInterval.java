package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * The interval between the reports of a process.
 *
 * <p>A process without lists from a leader reports more often, since callers of a starting fleet
 * wait for it. It does so only for {@value #FAST_PHASE_MS} ms after its start or first answer, so
 * that a fleet whose list of engines stays unreadable does not overload its leader with reports.
 */
final class ReportInterval {
  /** Interval of a process that follows a leader, or whose fast phase is over. */
  static final long NORMAL_INTERVAL_MS = 300;

  /**
   * Several round trips of 2 to 6 ms; short enough to add little to the latency of the first
   * requests, a quarter of a usual target of 300 ms.
   */
  static final long FAST_INTERVAL_MS = 80;

  /**
   * How long a process reports at the fast interval; longer than several elections of up to 1,200
   * ms each and a read of the engine list.
   */
  static final long FAST_PHASE_MS = 5_000;

  private final long startNs;
  private boolean coordinatorAnswered;
  private long firstAnsweredNs;

  /** Creates the interval of a process that starts to report at {@code startNs}. */
  ReportInterval(long startNs) {
    this.startNs = startNs;
  }

  /** Restarts the fast phase at the first answer of a coordinator. */
  void onAnswered(long nowNs) {
    if (!coordinatorAnswered) {
      coordinatorAnswered = true;
      firstAnsweredNs = nowNs;
    }
  }

  /**
   * Returns the time until the next report; {@code followsLeader} if a leader's lists are known.
   */
  long intervalMs(boolean followsLeader, long nowNs) {
    long phaseStartNs = coordinatorAnswered ? firstAnsweredNs : startNs;
    boolean inFastPhase = nowNs - phaseStartNs < TimeUnit.MILLISECONDS.toNanos(FAST_PHASE_MS);
    return !followsLeader && inFastPhase ? FAST_INTERVAL_MS : NORMAL_INTERVAL_MS;
  }
}
