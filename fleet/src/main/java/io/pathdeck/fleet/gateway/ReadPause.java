package io.pathdeck.fleet.gateway;

/**
 * Decides when to pause reading a response from its engine because the caller is slow; pure.
 *
 * <p>Unread data stays in the engine's memory instead of the gateway's. Engines drop a response
 * that is not read for some seconds, so pauses are bounded. After a pause that reached the bound,
 * reading continues until the caller has caught up or is disconnected.
 */
final class ReadPause {
  /** Some hundred events; a caller that keeps up never has as many pending. */
  static final long HIGH_WATERMARK_BYTES = 128 << 10;

  /** Keeps a caller busy until the engine's next bytes arrive. */
  static final long LOW_WATERMARK_BYTES = 32 << 10;

  /**
   * Shorter than the time after which engines drop an unread response, with margin for a late
   * check.
   */
  static final long MAX_PAUSE_MS = 1_500;

  private boolean paused;
  private boolean exhausted;
  private long pausedSinceMs;

  /**
   * Updates the state from the bytes that the caller has not read yet; returns whether reading is
   * paused.
   */
  boolean update(long pendingBytes, long nowMs) {
    if (pendingBytes <= LOW_WATERMARK_BYTES) {
      paused = false;
      exhausted = false;
    } else if (paused && nowMs - pausedSinceMs >= MAX_PAUSE_MS) {
      paused = false;
      exhausted = true;
    } else if (!paused && !exhausted && pendingBytes > HIGH_WATERMARK_BYTES) {
      paused = true;
      pausedSinceMs = nowMs;
    }
    return paused;
  }

  boolean isPaused() {
    return paused;
  }
}
