package io.pathdeck.fleet.store;

import java.util.Comparator;
import java.util.function.LongSupplier;

/** For how long items can wait and still be done when they are due; confined to one thread. */
final class ItemSlack {
  /** What an item needs to spare to be moved: a pause after the stop, and some steps. */
  private static final long MOVE_MS = 800;

  private final RunTimeEstimate runTimes = new RunTimeEstimate();
  private final LongSupplier logTimeMs;

  /** Items are due in the time of the log. */
  ItemSlack(LongSupplier logTimeMs) {
    this.logTimeMs = logTimeMs;
  }

  /** An item became whole. */
  void onWhole(ItemRun run, long nowMs) {
    if (run.beganAtFirstEvent()) {
      runTimes.onWhole(run.item.outputTokens(), run.ranMs(nowMs));
    }
  }

  /**
   * An item that runs has brought more events: they tell its engine's pace and how long they take.
   */
  void onEvents(ItemRun run, long nowMs) {
    run.tellPace(nowMs, runTimes::onEvents);
  }

  /** The slack of an item where it runs, or on a usual engine. */
  long ofMs(ItemRun run, long nowMs) {
    return ofMs(run, run.relativePace(), nowMs);
  }

  /** The slack on an engine where work takes {@code relativePace} times as long as usual. */
  long ofMs(ItemRun run, double relativePace, long nowMs) {
    long ranMs = runTimes.ofEventsMs(run.eventsBefore()) + run.ranMs(nowMs);
    long usualMs = runTimes.remainingMs(run.item.outputTokens(), ranMs);
    return run.dueMs() - logTimeMs.getAsLong() - Math.round(usualMs * relativePace);
  }

  /** How soon an item must run. */
  ItemUrgency urgency(ItemRun run, long nowMs) {
    return ItemUrgency.of(ofMs(run, nowMs));
  }

  /** Whether an item cannot be done in time where it runs but can on a usual engine. */
  boolean isInTimeElsewhere(ItemRun run, long nowMs) {
    return ofMs(run, nowMs) < 0 && ofMs(run, 1, nowMs) >= MOVE_MS;
  }

  /** Urgent items first, overdue ones last; among equals the one with the least slack. */
  Comparator<ItemRun> startOrder(long nowMs) {
    return Comparator.<ItemRun, ItemUrgency>comparing(run -> urgency(run, nowMs))
        .thenComparingLong(run -> ofMs(run, nowMs));
  }
}
