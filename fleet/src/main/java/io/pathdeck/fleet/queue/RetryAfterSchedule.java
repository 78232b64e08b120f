package io.pathdeck.fleet.queue;

import java.util.TreeSet;

/**
 * Assigns retry times to rejected callers: each gets a time slot of its own from when capacity is
 * expected, earlier rejections first. Confined to one thread.
 */
public final class RetryAfterSchedule {
  /** Callers ignore a retry delay longer than their remaining time divided by this. */
  private static final long CALLER_TIME_DIVISOR = 3;

  /** Width of a time slot, so that rejected callers do not return all at once. */
  private static final long SPACING_MS = 5;

  private static final long MIN_RETRY_AFTER_MS = 20;

  /** Multiples of it modulo 1 are spread evenly, however many there are. */
  private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

  /** The reserved slots that are not past, as multiples of {@link #SPACING_MS}. */
  private final TreeSet<Long> reservedSlots = new TreeSet<>();

  private double spreadPosition;

  /**
   * The delay after which a caller that is rejected now with {@code timeLeftMs} left should retry.
   */
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

  /** Used when all slots are reserved: retries may coincide, but stay spread. */
  private long spreadRetryAfterMs(long earliestMs, long longestMs) {
    spreadPosition = (spreadPosition + GOLDEN_RATIO) % 1;
    return earliestMs + Math.round(spreadPosition * (longestMs - earliestMs));
  }
}
