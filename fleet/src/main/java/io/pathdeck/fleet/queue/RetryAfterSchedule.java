package io.pathdeck.fleet.queue;

import java.util.TreeSet;

/**
 * Tells rejected callers when to come back: each at a moment of its own from when room is expected
 * on, those rejected first before the others. Confined to one thread.
 */
public final class RetryAfterSchedule {
  /** Callers follow a time to come back only up to this share of the time that they have left. */
  private static final long CALLER_TIME_DIVISOR = 3;

  /** How far apart callers come back, so that a crowd does not return as one. */
  private static final long SPACING_MS = 5;

  private static final long MIN_RETRY_AFTER_MS = 20;

  /** Multiples of it modulo 1 stay far apart from each other, however many there are. */
  private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

  /** The moments that were told and have not come, as multiples of the spacing. */
  private final TreeSet<Long> reservedSlots = new TreeSet<>();

  private double spreadPosition;

  /** When a caller comes back that is rejected now and has {@code timeLeftMs}. */
  public long retryAfterMs(long expectedWaitMs, long timeLeftMs, long nowMs) {
    reservedSlots.headSet(nowMs / SPACING_MS).clear();
    long longestMs = Math.max(MIN_RETRY_AFTER_MS, timeLeftMs / CALLER_TIME_DIVISOR);
    long earliestMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedWaitMs, longestMs / 2));
    long slot = (nowMs + earliestMs + SPACING_MS - 1) / SPACING_MS;
    while (reservedSlots.contains(slot)) {
      slot++;
    }
    long afterMs = slot * SPACING_MS - nowMs;
    if (afterMs <= longestMs) {
      reservedSlots.add(slot);
      return afterMs;
    }
    return spreadRetryAfterMs(earliestMs, longestMs);
  }

  /** All moments are taken: callers meet, but stay spread. */
  private long spreadRetryAfterMs(long earliestMs, long longestMs) {
    spreadPosition = (spreadPosition + GOLDEN_RATIO) % 1;
    return earliestMs + Math.round(spreadPosition * (longestMs - earliestMs));
  }
}
