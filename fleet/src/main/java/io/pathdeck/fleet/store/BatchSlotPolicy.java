package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;

/**
 * Decides how many slots of an engine batch items may take: all that online requests leave, except
 * a reserved share for the next ones. Items yield as soon as a request waits.
 *
 * <p>Online load changes within seconds, and an item runs longer than an off-peak period lasts. A
 * fixed share would leave slots unused off-peak or overload the peaks, whereas a stopped item
 * resumes after its last event and loses little.
 */
final class BatchSlotPolicy {
  /** Covers the requests that arrive before a load report shows them and an item yields. */
  private static final double RESERVED_SHARE = 0.125;

  private static final int DEFAULT_SLOTS = 8;

  /**
   * Number of waiting requests from which items yield. One is enough: a waiting request may become
   * late, whereas a stopped item resumes elsewhere.
   */
  private static final int MIN_WAITING_TO_YIELD = 1;

  /** Higher on a slow engine: few online requests go there, and stopping an item costs more. */
  private static final int SLOW_ENGINE_MIN_WAITING_TO_YIELD = 2;

  /** How long a new leader waits for load reports, which it requests every 300 ms. */
  private static final long FIRST_REPORT_WAIT_MS = 1_500;

  /** Long enough for callers that were rejected during a power failure to retry. */
  private static final long RAMP_UP_MS = 4_000;

  /**
   * The fraction of its share of slots that a leader may use {@code leadingForMs} after it began to
   * lead. A new leader has all unfinished items to start and sees engines that look free; after a
   * power failure all callers retry within a few seconds.
   */
  double rampUpShare(long leadingForMs) {
    return Math.min(1, leadingForMs / (double) RAMP_UP_MS);
  }

  /**
   * Whether another item may start on the engine.
   *
   * @param share the fraction of the engine's slots that items of this process may take, up to 1
   */
  boolean hasFreeSlot(EngineState engine, double share, long nowMs) {
    int slots = slots(engine);
    boolean withinShare = engine.inFlight() < Math.max(1, slots * share);
    return withinShare && engine.estimatedLoad(nowMs) < slots * (1 - RESERVED_SHARE);
  }

  /**
   * Whether the load of an engine is known well enough to start items there. After a power failure
   * an engine may spend seconds on calls of processes that are gone, so it must not count as free
   * before its first report; one that never reports is used after a while.
   *
   * @param leadingForMs for how long this store has led and requested reports
   */
  boolean isLoadKnown(EngineState engine, long leadingForMs, long nowMs) {
    boolean reported = engine.loadAgeMs(nowMs) >= 0;
    return reported || leadingForMs >= FIRST_REPORT_WAIT_MS;
  }

  /**
   * How many items should yield on an engine with this load. Requests count as waiting until their
   * prefill is done, so no item yields to those that have a free slot.
   */
  int itemsToYield(EngineState engine, EngineLoadReport load, boolean slow) {
    int threshold = slow ? SLOW_ENGINE_MIN_WAITING_TO_YIELD : MIN_WAITING_TO_YIELD;
    int withoutSlot = load.running() + load.waiting() - slots(engine);
    int needed = Math.min(load.waiting(), withoutSlot);
    return needed < threshold ? 0 : needed;
  }

  private static int slots(EngineState engine) {
    int reported = engine.instance().slots();
    return reported > 0 ? reported : DEFAULT_SLOTS;
  }
}
