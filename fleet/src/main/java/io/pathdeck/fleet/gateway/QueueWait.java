package io.pathdeck.fleet.gateway;

/** Measures how long a request waits to be sent, over all its attempts. */
final class QueueWait {
  private static final long NOT_WAITING = -1;

  private long sinceMs = NOT_WAITING;
  private long totalMs;

  void begin(long nowMs) {
    sinceMs = nowMs;
  }

  /** Ends the current wait, if any; returns whether it took any time. */
  boolean end(long nowMs) {
    boolean tookTime = sinceMs != NOT_WAITING && nowMs > sinceMs;
    if (tookTime) {
      totalMs += nowMs - sinceMs;
    }
    sinceMs = NOT_WAITING;
    return tookTime;
  }

  long totalMs() {
    return totalMs;
  }
}
