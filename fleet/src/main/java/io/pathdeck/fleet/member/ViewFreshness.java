package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * How far the view of the fleet may be relied on. Written by one thread, read by any; times are
 * those of {@link System#nanoTime}.
 */
final class ViewFreshness {
  /** How long an answer of the leading coordinator counts as news. */
  static final long CONFIRMATION_VALID_MS = 1_500;

  /**
   * How long what a coordinator knew before its restart may be acted on by a process that has run
   * for long: less than a leader and the first newer configuration take at the least.
   */
  static final long LAST_KNOWN_VALID_MS = 400;

  /**
   * How long after the start of its process a gateway may act on it for as long as coordinators
   * that know no leader repeat it. Callers count on the configuration in force from 4 s after the
   * start of a machine on; the rest is for the time from there to the start of the process.
   */
  static final long STARTUP_PERIOD_MS = 3_000;

  /**
   * By when it has to be repeated: an attempt of 500 ms that gets no answer, the pause after it,
   * and the interval of reports.
   */
  static final long LAST_KNOWN_REPEAT_TIMEOUT_MS = 700;

  /**
   * How long it may be acted on in all: an election of replicas that have waited already, spread
   * over 600 ms, its messages, and two reports.
   */
  static final long LAST_KNOWN_MAX_MS = 900;

  private final long processStartNs;
  private volatile long lastConfirmedNs;
  private volatile long firstConfirmedNs;
  private volatile boolean everConfirmed;
  private volatile long lastKnownFirstNs;
  private volatile long lastKnownLatestNs;
  private volatile boolean lastKnownReceived;

  /** Begins with a view that nobody has told. */
  ViewFreshness(long processStartNs) {
    this.processStartNs = processStartNs;
  }

  /** The leading coordinator has answered a report that was sent at {@code sentNs}. */
  void onLeaderAnswered(long sentNs) {
    lastConfirmedNs = sentNs;
    if (!everConfirmed) {
      firstConfirmedNs = sentNs;
      everConfirmed = true;
    }
  }

  /** A coordinator that knows no leader has told or repeated what it knew before its restart. */
  void onLastKnownReceived(long nowNs) {
    lastKnownLatestNs = nowNs;
    if (!lastKnownReceived) {
      lastKnownFirstNs = nowNs;
      lastKnownReceived = true;
    }
  }

  /** Whether a leader has ever answered. */
  boolean hasLeaderAnswered() {
    return everConfirmed;
  }

  /** How far the start has come; {@code beganNs} is when the process began to ask. */
  StartProgress startProgress(long beganNs, long nowNs) {
    if (everConfirmed) {
      long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNs - firstConfirmedNs);
      return new StartProgress(StartProgress.Phase.LIST_MISSING, ageMs);
    }
    StartProgress.Phase phase =
        lastKnownReceived ? StartProgress.Phase.NO_LEADER : StartProgress.Phase.NO_COORDINATOR;
    long sinceNs = lastKnownReceived ? lastKnownFirstNs : beganNs;
    return new StartProgress(phase, TimeUnit.NANOSECONDS.toMillis(nowNs - sinceNs));
  }

  /** Whether the view may be acted on. */
  boolean isUsable(long nowNs) {
    return everConfirmed || (lastKnownReceived && isLastKnownValid(nowNs));
  }

  private boolean isLastKnownValid(long nowNs) {
    long knownNs = nowNs - lastKnownFirstNs;
    boolean justTold = knownNs < millisToNanos(LAST_KNOWN_VALID_MS);
    boolean starting =
        nowNs - processStartNs < millisToNanos(STARTUP_PERIOD_MS)
            && knownNs < millisToNanos(LAST_KNOWN_MAX_MS);
    boolean repeated = nowNs - lastKnownLatestNs < millisToNanos(LAST_KNOWN_REPEAT_TIMEOUT_MS);
    return justTold || (starting && repeated);
  }

  /** Whether the leading coordinator has told or confirmed the view of late. */
  boolean isConfirmed(long nowNs) {
    return isConfirmedWithin(CONFIRMATION_VALID_MS, nowNs);
  }

  /** Whether the leading coordinator has answered a report that was sent in the last {@code ms}. */
  boolean isConfirmedWithin(long ms, long nowNs) {
    return everConfirmed && nowNs - lastConfirmedNs < millisToNanos(ms);
  }

  private static long millisToNanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }
}
