package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;

/**
 * How much of an engine batch items may take: a share of its slots, and only while some slots
 * beyond the load stay free for online requests. An item that cannot wait any more may take more.
 */
final class BatchWindow {
  private static final double USUAL_SHARE = 0.5;
  private static final double URGENT_SHARE = 0.75;
  private static final double FREE_SHARE = 0.25;
  private static final long URGENT_SLACK_MS = 4_000;
  private static final int DEFAULT_SLOTS = 8;

  /** From this many waiting requests on an engine is too full for the batch items it runs. */
  private static final int CROWDED = 2;

  private static final int MOST_YIELDS = 3;

  /**
   * Whether another item may start on the engine.
   *
   * @param slackMs for how long the item can wait and still be done when it is due
   * @param groups how many groups of batch jobs share the engines, each by its own count
   */
  boolean hasRoom(EngineState engine, long slackMs, int groups, long nowMs) {
    int slots = engine.instance().slots() > 0 ? engine.instance().slots() : DEFAULT_SLOTS;
    double share = slackMs < URGENT_SLACK_MS ? URGENT_SHARE : USUAL_SHARE;
    boolean withinShare = engine.inFlight() < Math.max(1, slots * share / groups);
    return withinShare && engine.estimatedLoad(nowMs) < slots * (1 - FREE_SHARE);
  }

  /** Whether an item may be stopped for online requests: one that cannot wait may not. */
  boolean mayYield(long slackMs) {
    return slackMs >= URGENT_SLACK_MS;
  }

  /** How many items on an engine with this load should make room for online requests. */
  int yields(EngineLoadReport load) {
    return load.waiting() < CROWDED ? 0 : Math.min(MOST_YIELDS, load.waiting());
  }
}
