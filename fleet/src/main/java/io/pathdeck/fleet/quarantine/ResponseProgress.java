package io.pathdeck.fleet.quarantine;

/**
 * How long an engine has been writing a response, judged by the arrival of its pieces; confined to
 * one thread.
 *
 * <p>Prompts that crash engines do so within about 100 ms of the start of the response, so a
 * response that went on for {@value #SUSTAINED_MS} ms shows that its prompt does not. A pause
 * counts for at most {@value #MAX_PAUSE_MS} ms: a stalled connection or process delays pieces that
 * were written much earlier.
 */
final class ResponseProgress {
  /** Five times the longest known time to a crash, for slow and full engines. */
  static final long SUSTAINED_MS = 500;

  private static final long MAX_PAUSE_MS = 100;
  private static final long NOT_STARTED = Long.MIN_VALUE;

  private long lastPieceMs = NOT_STARTED;
  private long writingMs;
  private int pieces;

  /** Records the arrival of a piece; returns whether the response has just become sustained. */
  boolean onPiece(long nowMs) {
    boolean wasSustained = isSustained();
    if (lastPieceMs != NOT_STARTED) {
      writingMs += Math.min(nowMs - lastPieceMs, MAX_PAUSE_MS);
    }
    lastPieceMs = nowMs;
    pieces++;
    return !wasSustained && isSustained();
  }

  /** Whether the response went on for longer than prompts that crash engines allow. */
  boolean isSustained() {
    return writingMs >= SUSTAINED_MS;
  }

  /** For how long the response was written, without long pauses. */
  long writingMs() {
    return writingMs;
  }

  /** Number of pieces of the response that arrived. */
  int pieces() {
    return pieces;
  }
}
