package io.pathdeck.fleet.queue;

import java.util.TreeSet;

/**
 * Assigns retry times to rejected callers, so that they do not return all at once. The times begin
 * when capacity is expected and are {@value #SPACING_MS} ms apart, in order of rejection; when none
 * is left, callers may share one. Confined to one thread.
 */
public final class RetryAfterSchedule {
  /** Callers ignore a retry delay longer than their remaining time divided by this. */
  private static final long CALLER_TIME_DIVISOR = 3;

  private static final long SPACING_MS = 5;
  private static final long MIN_RETRY_AFTER_MS = 20;

  /** Multiples of this number modulo 1 are spread evenly, however many are used. */
  private static final double GOLDEN_RATIO_CONJUGATE = 0.618_033_988_749_895;

  /** Reserved retry times that have not passed, in units of {@link #SPACING_MS}. */
  private final TreeSet<Long> reservedTimes = new TreeSet<>();

  private double spreadPosition;

  /**
   * Returns the retry delay of a caller that is rejected now and gives up after {@code timeLeftMs}.
   */
  public long retryAfterMs(long expectedWaitMs, long timeLeftMs, long nowMs) {
    reservedTimes.headSet(nowMs / SPACING_MS).clear();
    long maxDelayMs = Math.max(MIN_RETRY_AFTER_MS, timeLeftMs / CALLER_TIME_DIVISOR);
    long minDelayMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedWaitMs, maxDelayMs / 2));
    long retryTime = (nowMs + minDelayMs + SPACING_MS - 1) / SPACING_MS;
    while (reservedTimes.contains(retryTime)) {
      retryTime++;
    }
    long delayMs = retryTime * SPACING_MS - nowMs;
    if (delayMs <= maxDelayMs) {
      reservedTimes.add(retryTime);
      return delayMs;
    }
    return spreadRetryAfterMs(minDelayMs, maxDelayMs);
  }

  /** Spreads retries between the two delays when all times are reserved; some may coincide. */
  private long spreadRetryAfterMs(long minDelayMs, long maxDelayMs) {
    spreadPosition = (spreadPosition + GOLDEN_RATIO_CONJUGATE) % 1;
    return minDelayMs + Math.round(spreadPosition * (maxDelayMs - minDelayMs));
  }
}
