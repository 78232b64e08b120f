package io.pathdeck.fleet.gateway;

/**
 * Decides when reading an answer from its engine pauses, because the caller takes it slowly; pure.
 *
 * <p>What the engine has not sent yet stays in the engine's memory and not in this process's. An
 * engine cuts an answer off that stays unread for some seconds, so a pause is bounded. After a
 * pause that was too short, reading goes on until the caller has caught up or is given up.
 */
final class ReadPause {
  /** Some hundred events: a caller that keeps up never has so much waiting. */
  static final long HIGH_WATERMARK_BYTES = 128 << 10;

  /** Enough to keep a caller busy until the engine's next bytes are here. */
  static final long LOW_WATERMARK_BYTES = 32 << 10;

  /** Below the seconds after which engines cut off, with room for a late check. */
  static final long MAX_PAUSE_MS = 1_500;

  private boolean paused;
  private boolean exhausted;
  private long pausedSinceMs;

  /** Decides anew from what the caller has not taken yet; returns whether reading is paused. */
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
