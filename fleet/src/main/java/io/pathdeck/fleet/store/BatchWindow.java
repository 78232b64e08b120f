package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;

/**
 * How much of an engine batch items may take: a share of its slots, and only while some slots
 * beyond the load stay free for online requests.
 */
final class BatchWindow {
  private static final double LARGEST_SHARE = 0.6;
  private static final double FREE_SHARE = 0.25;
  private static final int DEFAULT_SLOTS = 8;

  boolean hasRoom(EngineState engine, long nowMs) {
    int slots = engine.instance().slots() > 0 ? engine.instance().slots() : DEFAULT_SLOTS;
    boolean withinShare = engine.inFlight() < Math.max(1, slots * LARGEST_SHARE);
    return withinShare && engine.estimatedLoad(nowMs) < slots * (1 - FREE_SHARE);
  }
}
