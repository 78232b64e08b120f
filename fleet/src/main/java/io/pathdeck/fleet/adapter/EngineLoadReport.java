package io.pathdeck.fleet.adapter;

import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * An engine's load as it says itself.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param slots requests that it can run at once; 0 when it does not say
 * @param bornMs when the life of the engine that reports began; {@link EngineInstance#BORN_UNKNOWN}
 *     when it does not say
 * @param pacePercent how long work takes there at this moment, 100 is as usual; {@link
 *     #PACE_UNKNOWN} when it does not say
 */
public record EngineLoadReport(int running, int waiting, int slots, long bornMs, int pacePercent) {
  /** The pace of an engine that does not tell it. */
  public static final int PACE_UNKNOWN = 0;

  /** A report of an engine that does not tell its pace. */
  public EngineLoadReport(int running, int waiting, int slots, long bornMs) {
    this(running, waiting, slots, bornMs, PACE_UNKNOWN);
  }

  /** A report of an engine that says neither when its life began nor its pace. */
  public EngineLoadReport(int running, int waiting, int slots) {
    this(running, waiting, slots, EngineInstance.BORN_UNKNOWN);
  }

  /** Whether the engine says how long work takes there now: it shares its machine with others. */
  public boolean hasPace() {
    return pacePercent != PACE_UNKNOWN;
  }
}
