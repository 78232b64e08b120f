package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;

/**
 * How much of an engine batch items may take: a share of its slots, and only while slots beyond
 * that stay free for online requests.
 */
final class BatchWindow {
  private static final double LARGEST_SHARE = 0.5;
  private static final double LOAD_LIMIT = 0.8;
  private static final int DEFAULT_SLOTS = 8;

  boolean hasRoom(EngineState engine, long nowMs) {
    int slots = engine.instance().slots() > 0 ? engine.instance().slots() : DEFAULT_SLOTS;
    boolean share = engine.inFlight() < Math.max(1, slots * LARGEST_SHARE);
    return share && engine.estimatedLoad(nowMs) < slots * LOAD_LIMIT;
  }
}
