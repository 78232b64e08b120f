package io.pathdeck.fleet.gateway;

/**
 * Decides when to pause reading a response from its engine because the caller is slow. Does no I/O
 * and reads no clock.
 *
 * <p>Unread data stays in the engine's memory instead of the gateway's. Engines drop a response
 * that is not read for some seconds, so pauses are bounded. After a pause that reached the bound,
 * the gateway keeps reading until the caller has caught up or is disconnected.
 */
final class ReadPause {
  /** A few hundred events; a caller that keeps up never has that many unread. */
  static final long HIGH_WATERMARK_BYTES = 128 << 10;

  /**
   * Reading resumes at this level, so that data remains to send until more arrives from the engine.
   */
  static final long LOW_WATERMARK_BYTES = 32 << 10;

  /**
   * Shorter than the time after which engines drop an unread response, with margin for a late
   * check.
   */
  static final long MAX_PAUSE_MS = 1_500;

  private boolean paused;
  private boolean maxPauseReached;
  private long pausedSinceMs;

  /**
   * Updates the state from the number of bytes that the caller has not read yet. Returns whether
   * the gateway should pause reading from the engine.
   */
  boolean update(long pendingBytes, long nowMs) {
    if (pendingBytes <= LOW_WATERMARK_BYTES) {
      paused = false;
      maxPauseReached = false;
    } else if (paused && nowMs - pausedSinceMs >= MAX_PAUSE_MS) {
      paused = false;
      maxPauseReached = true;
    } else if (!paused && !maxPauseReached && pendingBytes > HIGH_WATERMARK_BYTES) {
      paused = true;
      pausedSinceMs = nowMs;
    }
    return paused;
  }

  boolean isPaused() {
    return paused;
  }
}
