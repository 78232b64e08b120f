package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * Tracks whether the view of the fleet is recent enough to be used. Written by one thread, read by
 * any; times are those of {@link System#nanoTime}.
 */
final class ViewFreshness {
  /** How long an answer of the leader confirms the view. */
  static final long CONFIRMATION_VALID_MS = 1_500;

  /**
   * How long a process past its startup may use last-known state: less than a new leader and its
   * first newer configuration take at the least.
   */
  static final long LAST_KNOWN_VALID_MS = 400;

  /**
   * How long after the start of its process a gateway may use last-known state that coordinators
   * without a leader repeat. Callers expect the configuration in force from 4 s after the start of
   * a machine on; the rest is for the time until the process starts.
   */
  static final long STARTUP_PERIOD_MS = 3_000;

  /**
   * Longest time between repetitions: an attempt of 500 ms without an answer, the delay after it,
   * and the interval of reports.
   */
  static final long LAST_KNOWN_REPEAT_TIMEOUT_MS = 700;

  /**
   * Longest use of repeated last-known state: an election of replicas that have waited already,
   * spread over 600 ms, its messages, and two reports.
   */
  static final long LAST_KNOWN_MAX_MS = 900;

  private final long processStartNs;
  private volatile long lastConfirmedNs;
  private volatile long firstConfirmedNs;
  private volatile boolean everConfirmed;
  private volatile long lastKnownFirstNs;
  private volatile long lastKnownLatestNs;
  private volatile boolean lastKnownReceived;

  /** Creates the freshness of an unknown view. */
  ViewFreshness(long processStartNs) {
    this.processStartNs = processStartNs;
  }

  /** Records the answer of the leader to a report that was sent at {@code sentNs}. */
  void onLeaderAnswered(long sentNs) {
    lastConfirmedNs = sentNs;
    if (!everConfirmed) {
      firstConfirmedNs = sentNs;
      everConfirmed = true;
    }
  }

  /** Records last-known state, sent or repeated by a coordinator that knows no leader. */
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

  /** Returns the progress of the startup; {@code createdNs} is when the process began to ask. */
  StartProgress startProgress(long createdNs, long nowNs) {
    if (everConfirmed) {
      long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNs - firstConfirmedNs);
      return new StartProgress(StartProgress.Phase.LIST_MISSING, ageMs);
    }
    StartProgress.Phase phase =
        lastKnownReceived ? StartProgress.Phase.NO_LEADER : StartProgress.Phase.NO_COORDINATOR;
    long sinceNs = lastKnownReceived ? lastKnownFirstNs : createdNs;
    return new StartProgress(phase, TimeUnit.NANOSECONDS.toMillis(nowNs - sinceNs));
  }

  /** Whether the view may be used. */
  boolean isUsable(long nowNs) {
    return everConfirmed || (lastKnownReceived && isLastKnownValid(nowNs));
  }

  private boolean isLastKnownValid(long nowNs) {
    long ageNs = nowNs - lastKnownFirstNs;
    boolean justReceived = ageNs < millisToNanos(LAST_KNOWN_VALID_MS);
    boolean starting =
        nowNs - processStartNs < millisToNanos(STARTUP_PERIOD_MS)
            && ageNs < millisToNanos(LAST_KNOWN_MAX_MS);
    boolean repeated = nowNs - lastKnownLatestNs < millisToNanos(LAST_KNOWN_REPEAT_TIMEOUT_MS);
    return justReceived || (starting && repeated);
  }

  /** Whether the leader has answered recently. */
  boolean isConfirmed(long nowNs) {
    return isConfirmedWithin(CONFIRMATION_VALID_MS, nowNs);
  }

  /** Whether the leader has answered a report that was sent in the last {@code ms}. */
  boolean isConfirmedWithin(long ms, long nowNs) {
    return everConfirmed && nowNs - lastConfirmedNs < millisToNanos(ms);
  }

  private static long millisToNanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }
}
