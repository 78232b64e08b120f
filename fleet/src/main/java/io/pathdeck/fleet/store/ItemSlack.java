package io.pathdeck.fleet.store;

import java.util.Comparator;
import java.util.function.LongSupplier;

/** For how long items can wait and still be done when they are due; confined to one thread. */
final class ItemSlack {
  /** What an item needs to spare to be moved: a pause after the stop, and some steps. */
  private static final long MOVE_MARGIN_MS = 800;

  private final RunTimeEstimate runTimes = new RunTimeEstimate();
  private final LongSupplier logTimeMs;

  /** Items are due in the time of the log. */
  ItemSlack(LongSupplier logTimeMs) {
    this.logTimeMs = logTimeMs;
  }

  /** An item became whole. */
  void onItemCompleted(ItemRun run, long nowMs) {
    if (run.startedAtFirstEvent()) {
      runTimes.onItemCompleted(run.item.outputTokens(), run.normalizedRunMs(nowMs));
    }
  }

  /**
   * An item that runs has brought more events: they tell its engine's pace and how long they take.
   */
  void onEvents(ItemRun run, long nowMs) {
    run.reportPace(nowMs, runTimes::onEvents);
  }

  /** The slack of an item where it runs, or on a usual engine. */
  long slackMs(ItemRun run, long nowMs) {
    return slackMs(run, run.relativePace(), nowMs);
  }

  /** The slack on an engine where work takes {@code relativePace} times as long as usual. */
  long slackMs(ItemRun run, double relativePace, long nowMs) {
    long ranMs = runTimes.eventsMs(run.inheritedEvents()) + run.normalizedRunMs(nowMs);
    long usualMs = runTimes.remainingMs(run.item.outputTokens(), ranMs);
    return run.dueMs() - logTimeMs.getAsLong() - Math.round(usualMs * relativePace);
  }

  /** How soon an item must run. */
  ItemUrgency urgency(ItemRun run, long nowMs) {
    return ItemUrgency.of(slackMs(run, nowMs));
  }

  /** Whether an item cannot be done in time where it runs but can on a usual engine. */
  boolean canBeOnTimeElsewhere(ItemRun run, long nowMs) {
    return slackMs(run, nowMs) < 0 && slackMs(run, 1, nowMs) >= MOVE_MARGIN_MS;
  }

  /** Urgent items first, overdue ones last; among equals the one with the least slack. */
  Comparator<ItemRun> startOrder(long nowMs) {
    return Comparator.<ItemRun, ItemUrgency>comparing(run -> urgency(run, nowMs))
        .thenComparingLong(run -> slackMs(run, nowMs));
  }
}
