package io.pathdeck.control;

/**
 * The time a leader stamps on commands.
 *
 * <p>It advances with the monotonic clock and only leans toward the wall clock, at no more than
 * {@value #MAX_RATE} times the real speed. So a wall clock that jumps neither ends leases early nor
 * turns time back.
 */
public final class LogTime {
  /**
   * How many times as fast as real time it runs at the most. What must not end early is measured on
   * a monotonic clock, or counts this many times as long here.
   */
  public static final int MAX_RATE = 2;

  private long timeMs;
  private long lastMonotonicMs;
  private boolean started;

  /** Follows the time found in the log, for a replica that may lead later. */
  public void observe(long appliedMs) {
    timeMs = Math.max(timeMs, appliedMs);
  }

  /** The stamp for a command proposed now. */
  public long next(long monotonicMs, long wallMs) {
    if (timeMs == 0) {
      timeMs = wallMs;
    }
    long elapsed = started ? Math.max(0, monotonicMs - lastMonotonicMs) : 0;
    started = true;
    lastMonotonicMs = monotonicMs;
    timeMs += elapsed;
    long lag = Math.max(0, wallMs - timeMs);
    timeMs += Math.min(lag, (MAX_RATE - 1) * elapsed);
    return timeMs;
  }

  /** Stops the clock while the replica does not lead. */
  public void pause() {
    started = false;
  }
}
