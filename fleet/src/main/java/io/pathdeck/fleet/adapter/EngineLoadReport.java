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
 * @param tellsPace whether the engine says how long work takes there now: it shares its machine
 */
public record EngineLoadReport(
    int running, int waiting, int slots, long bornMs, boolean tellsPace) {
  /** A report of an engine that does not say when its life began. */
  public EngineLoadReport(int running, int waiting, int slots) {
    this(running, waiting, slots, EngineInstance.BORN_UNKNOWN, false);
  }
}
