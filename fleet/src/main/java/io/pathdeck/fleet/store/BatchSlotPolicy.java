package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;

/**
 * How much of an engine batch items may take: all that online requests leave but a few slots, which
 * stay free for those that come next. Items make room as soon as a request waits.
 *
 * <p>This answers a demand that swings within seconds: an item lasts longer than a trough, so a
 * fixed share would waste the troughs or fill the crests, while an item that is stopped goes on
 * after its last event and loses little.
 */
final class BatchSlotPolicy {
  /** Room for the requests that come until a report shows them and an item makes room. */
  private static final double RESERVED_SHARE = 0.125;

  private static final int DEFAULT_SLOTS = 8;

  /**
   * From this many waiting requests on an engine is too full for the batch items it runs: a request
   * that waits may come late, and an item that is stopped goes on elsewhere.
   */
  private static final int MIN_WAITING_TO_YIELD = 1;

  /** The same on a slow engine: few online requests come there, and a stop costs an item more. */
  private static final int SLOW_ENGINE_MIN_WAITING_TO_YIELD = 2;

  /** How long a new leader waits for reports, which it asks for every 300 ms. */
  private static final long FIRST_REPORT_WAIT_MS = 1_500;

  /** The callers whom a loss of power turned away have come back by then. */
  private static final long RAMP_UP_MS = 4_000;

  /**
   * The part of its share that a leader's items take after it has led for {@code leadingForMs}. A
   * new leader has all unfinished items to start at once and finds engines that look free; after a
   * loss of power all callers come back in the same seconds.
   */
  double rampUpShare(long leadingForMs) {
    return Math.min(1, leadingForMs / (double) RAMP_UP_MS);
  }

  /**
   * Whether another item may start on the engine.
   *
   * @param part the part of the engine's slots that items of this process may take, up to 1
   */
  boolean hasFreeSlot(EngineState engine, double part, long nowMs) {
    int slots = slots(engine);
    boolean withinPart = engine.inFlight() < Math.max(1, slots * part);
    return withinPart && engine.estimatedLoad(nowMs) < slots * (1 - RESERVED_SHARE);
  }

  /**
   * Whether items may start on an engine, as far as its load has been told. After a loss of power
   * an engine may go on for seconds with what processes asked for that are gone, so one that has
   * not been heard must not be taken for free; one that never tells its load is used after a while.
   *
   * @param leadingForMs for how long this store has led, and so has asked for reports
   */
  boolean isLoadKnown(EngineState engine, long leadingForMs, long nowMs) {
    boolean told = engine.loadAgeMs(nowMs) >= 0;
    return told || leadingForMs >= FIRST_REPORT_WAIT_MS;
  }

  /**
   * How many items should make room on an engine with this load. Requests count as waiting until
   * their prompts are read, so those for which slots are free need no more room.
   */
  int itemsToYield(EngineState engine, EngineLoadReport load, boolean slow) {
    int crowded = slow ? SLOW_ENGINE_MIN_WAITING_TO_YIELD : MIN_WAITING_TO_YIELD;
    int withoutSlot = load.running() + load.waiting() - slots(engine);
    int needed = Math.min(load.waiting(), withoutSlot);
    return needed < crowded ? 0 : needed;
  }

  private static int slots(EngineState engine) {
    int told = engine.instance().slots();
    return told > 0 ? told : DEFAULT_SLOTS;
  }
}
