package io.pathdeck.state;

/** A monotonic clock that is advanced by the proposal times in the log. */
final class LogClock {
  private long nowMs;

  long advance(long proposedAtMs) {
    nowMs = Math.max(nowMs, proposedAtMs);
    return nowMs;
  }

  long nowMs() {
    return nowMs;
  }

  void restore(long clockMs) {
    nowMs = clockMs;
  }
}
