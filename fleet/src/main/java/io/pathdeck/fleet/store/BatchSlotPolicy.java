package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.Eligibility;
import io.pathdeck.fleet.engine.EngineState;
import java.util.Map;

/**
 * Decides how many slots of an engine batch items may take: all that online requests leave, except
 * a share reserved for requests about to arrive. Items yield when requests wait for a slot.
 *
 * <p>Online load changes within seconds, and an item runs longer than an off-peak period lasts. A
 * fixed share would leave slots unused off-peak or overload engines at peaks, whereas a stopped
 * item resumes after its last event and loses little.
 */
final class BatchSlotPolicy {
  /** Covers the requests that arrive before a load report shows them and an item yields. */
  static final double RESERVED_SHARE = 0.125;

  /** An engine with less load than this has room for an item, whatever else is expected. */
  private static final double ROOM_SHARE = 0.5;

  private static final int DEFAULT_SLOTS = 8;

  /**
   * Minimum number of waiting requests for which items yield. One is enough: a waiting request may
   * become late, whereas a stopped item resumes elsewhere.
   */
  private static final int MIN_WAITING_TO_YIELD = 1;

  /**
   * Higher, because few online requests go to a slow engine and stopping an item there costs more.
   */
  private static final int SLOW_ENGINE_MIN_WAITING_TO_YIELD = 2;

  /** Maximum wait of a new leader for the first load report of an engine; covers several polls. */
  private static final long FIRST_REPORT_WAIT_MS = 1_500;

  /** Long enough for callers that were rejected during a power failure to retry. */
  private static final long RAMP_UP_MS = 4_000;

  /**
   * Returns the fraction of its share of slots that a leader may use {@code leadingForMs} after it
   * began to lead. A new leader has all unfinished items to start and sees engines that look free;
   * after a power failure all callers retry within a few seconds.
   */
  double rampUpShare(long leadingForMs) {
    return Math.min(1, leadingForMs / (double) RAMP_UP_MS);
  }

  /**
   * Returns the fraction of an engine's slots that items leave to online requests. While engines
   * are in evacuated zones, the others have to bear the online requests of those, but items start
   * on an engine that is under half full.
   *
   * @param counts the number of the service's engines by their eligibility
   */
  double reservedShare(Map<Eligibility, Integer> counts) {
    int evacuated = counts.getOrDefault(Eligibility.ZONE_EVACUATED, 0);
    int outOfService = counts.getOrDefault(Eligibility.OUT_OF_SERVICE, 0);
    int inService = counts.values().stream().mapToInt(Integer::intValue).sum() - outOfService;
    return evacuated == 0
        ? RESERVED_SHARE
        : Math.max(RESERVED_SHARE, Math.min(ROOM_SHARE, evacuated / (double) inService));
  }

  /**
   * Whether another item may start on the engine. Items of this process take at most {@code
   * maxShare} of its slots, but may always take one while {@code reservedShare} of them is free.
   */
  boolean hasFreeSlot(EngineState engine, double maxShare, double reservedShare, long nowMs) {
    int slots = slots(engine);
    boolean withinShare = engine.inFlight() < Math.max(1, slots * maxShare);
    return withinShare && engine.estimatedLoad(nowMs) < slots * (1 - reservedShare);
  }

  /** Whether so much of the engine is free that a waiting item has to start there or elsewhere. */
  boolean hasRoom(EngineState engine, long nowMs) {
    return engine.estimatedLoad(nowMs) < slots(engine) * ROOM_SHARE;
  }

  /**
   * Whether the load of an engine is known well enough to start items there. After a power failure
   * an engine may run calls of crashed processes for seconds, so it does not count as free before
   * its first report. After {@link #FIRST_REPORT_WAIT_MS} as leader, the store also uses engines
   * that do not report.
   */
  boolean isLoadKnown(EngineState engine, long leadingForMs, long nowMs) {
    boolean hasReported = engine.loadReportAgeMs(nowMs) >= 0;
    return hasReported || leadingForMs >= FIRST_REPORT_WAIT_MS;
  }

  /**
   * Returns how many items yield on an engine with this load. Engines count a request as waiting
   * until its prefill is done, so only requests beyond the slots count here.
   */
  int yieldCount(EngineState engine, EngineLoadReport load, boolean isSlow) {
    int threshold = isSlow ? SLOW_ENGINE_MIN_WAITING_TO_YIELD : MIN_WAITING_TO_YIELD;
    int requestsWithoutSlot = load.running() + load.waiting() - slots(engine);
    int neededSlots = Math.min(load.waiting(), requestsWithoutSlot);
    return neededSlots < threshold ? 0 : neededSlots;
  }

  private static int slots(EngineState engine) {
    int reportedSlots = engine.instance().slots();
    return reportedSlots > 0 ? reportedSlots : DEFAULT_SLOTS;
  }
}
