package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * How far the view of the fleet may be relied on. Written by one thread, read by any; times are
 * those of {@link System#nanoTime}.
 */
final class ViewFreshness {
  /** How long an answer of the leading coordinator counts as news. */
  static final long CONFIRMED_MS = 1_500;

  /**
   * How long what a coordinator knew before its restart may be acted on: less than a leader and the
   * first newer configuration take at the least.
   */
  static final long LAST_KNOWN_VALID_MS = 400;

  private volatile long confirmedNs;
  private volatile boolean everConfirmed;
  private volatile long lastKnownNs;
  private volatile boolean lastKnownTold;

  /** The leading coordinator has answered a report that was sent at {@code sentNs}. */
  void onLeaderAnswered(long sentNs) {
    confirmedNs = sentNs;
    everConfirmed = true;
  }

  /** A coordinator has told what it knew before its restart. */
  void onLastKnownTold(long nowNs) {
    lastKnownNs = nowNs;
    lastKnownTold = true;
  }

  /** Whether the view may be acted on. */
  boolean isUsable(long nowNs) {
    return everConfirmed || (lastKnownTold && nowNs - lastKnownNs < millis(LAST_KNOWN_VALID_MS));
  }

  /** Whether the leading coordinator has told or confirmed the view of late. */
  boolean isConfirmed(long nowNs) {
    return everConfirmed && nowNs - confirmedNs < millis(CONFIRMED_MS);
  }

  private static long millis(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }
}
