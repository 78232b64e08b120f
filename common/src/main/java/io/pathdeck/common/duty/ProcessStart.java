package io.pathdeck.common.duty;

import java.util.concurrent.TimeUnit;

/**
 * When this process began, on the clock of {@link System#nanoTime}.
 *
 * <p>Only an entry point marks it. Code that restarts parts of a process within one machine, as
 * tests do, finds it unmarked and must count from the present.
 */
public final class ProcessStart {
  private static volatile boolean marked;
  private static volatile long startNs;

  private ProcessStart() {}

  /** Marks the present as the start; to be called first in {@code main}. */
  public static void mark() {
    startNs = System.nanoTime();
    marked = true;
  }

  /** The start in milliseconds of the monotonic clock, or {@code nowMs} when it was not marked. */
  public static long monotonicMs(long nowMs) {
    return marked ? Math.min(nowMs, TimeUnit.NANOSECONDS.toMillis(startNs)) : nowMs;
  }
}
