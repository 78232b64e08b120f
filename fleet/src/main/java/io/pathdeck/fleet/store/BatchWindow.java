package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;

/**
 * How much of an engine batch items may take: a share of its slots, and only while some slots
 * beyond the load stay free for online requests. An item that is soon due may take more.
 */
final class BatchWindow {
  private static final double USUAL_SHARE = 0.5;
  private static final double URGENT_SHARE = 0.75;
  private static final double FREE_SHARE = 0.25;
  private static final long URGENT_MS = 9_000;
  private static final int DEFAULT_SLOTS = 8;

  /** From this many waiting requests on an engine is too full for the batch items it runs. */
  private static final int CROWDED = 2;

  private static final int MOST_YIELDS = 3;

  /** Whether another item may start on the engine. */
  boolean hasRoom(EngineState engine, long dueInMs, long nowMs) {
    int slots = engine.instance().slots() > 0 ? engine.instance().slots() : DEFAULT_SLOTS;
    double share = dueInMs < URGENT_MS ? URGENT_SHARE : USUAL_SHARE;
    boolean withinShare = engine.inFlight() < Math.max(1, slots * share);
    return withinShare && engine.estimatedLoad(nowMs) < slots * (1 - FREE_SHARE);
  }

  /** Whether an item may be stopped for online requests: one that is soon due may not. */
  boolean mayYield(long dueInMs) {
    return dueInMs >= URGENT_MS;
  }

  /** How many items on an engine with this load should make room for online requests. */
  int yields(EngineLoadReport load) {
    return load.waiting() < CROWDED ? 0 : Math.min(MOST_YIELDS, load.waiting());
  }
}
