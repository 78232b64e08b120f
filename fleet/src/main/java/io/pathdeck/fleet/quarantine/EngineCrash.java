package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.EngineEnd;

/**
 * When an engine crashed, as the first process noticed it.
 *
 * @param atMs when it crashed
 * @param aliveMs a time at which it was still alive, as far as known
 */
record EngineCrash(long atMs, long aliveMs) {
  /**
   * A request that was at an engine for this time was taken by a live one; otherwise it may have
   * been sent on a connection whose loss was not noticed yet.
   */
  private static final long MIN_RUN_MS = 15;

  private static final long UNKNOWN = Long.MIN_VALUE;

  /** What the interruption of one request tells. */
  static EngineCrash of(EngineEnd end, long atMs) {
    return new EngineCrash(atMs, end.ranMs() >= MIN_RUN_MS ? atMs - end.ranMs() : UNKNOWN);
  }

  /** Combines what two interrupted requests tell about the same crash. */
  EngineCrash merge(EngineCrash other) {
    return new EngineCrash(Math.min(atMs, other.atMs), Math.max(aliveMs, other.aliveMs));
  }
}
