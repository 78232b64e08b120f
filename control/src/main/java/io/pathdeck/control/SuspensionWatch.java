package io.pathdeck.control;

/**
 * Notices that the process was suspended with its machine: the time of day went on while the steady
 * clock stood still. Whatever is measured by the steady clock then looks younger than it is, a
 * lease among others.
 *
 * <p>A step of the time of day forward looks the same, and costs no more than a suspension would. A
 * step backward within the same time as a suspension hides it.
 */
final class SuspensionWatch {
  /** Far above what slewing adds between two looks, far below a lease of hundreds of ms. */
  static final long MIN_GAP_MS = 50;

  private long monotonicMs;
  private long wallMs;
  private boolean started;

  /** Looks at both clocks; returns whether the process slept since the last look. */
  boolean hasSlept(long monotonicNowMs, long wallNowMs) {
    long gapMs = (wallNowMs - wallMs) - (monotonicNowMs - monotonicMs);
    boolean slept = started && gapMs >= MIN_GAP_MS;
    started = true;
    monotonicMs = monotonicNowMs;
    wallMs = wallNowMs;
    return slept;
  }
}
