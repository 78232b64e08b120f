package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * A moment by the steady clock and by the time of day.
 *
 * @param steadyNs the value of {@link System#nanoTime}
 * @param wallMs the value of {@link System#currentTimeMillis}
 */
record Moment(long steadyNs, long wallMs) {
  static Moment now() {
    return new Moment(System.nanoTime(), System.currentTimeMillis());
  }

  /**
   * Returns the time that has passed until {@code later}, by the clock that shows more of it: the
   * steady clock may stand still while its machine is suspended. A step of the time of day forward
   * looks the same.
   */
  long elapsedNs(Moment later) {
    long wallNs = TimeUnit.MILLISECONDS.toNanos(later.wallMs - wallMs);
    return Math.max(later.steadyNs - steadyNs, wallNs);
  }

  boolean isBefore(Moment other) {
    return steadyNs - other.steadyNs < 0;
  }
}
