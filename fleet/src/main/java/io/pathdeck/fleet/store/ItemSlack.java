package io.pathdeck.fleet.store;

import java.util.Comparator;
import java.util.function.LongSupplier;

/** Computes how long items can wait and still be on time; confined to one thread. */
final class ItemSlack {
  /** Slack that an item needs to be moved: the delay after a stop and some scheduling steps. */
  private static final long MOVE_MARGIN_MS = 800;

  private final RunTimeEstimate runTimes = new RunTimeEstimate();
  private final LongSupplier logTimeMs;

  /** Uses log time, in which items are due. */
  ItemSlack(LongSupplier logTimeMs) {
    this.logTimeMs = logTimeMs;
  }

  void onItemCompleted(ItemRun run, long nowMs) {
    if (run.startedAtFirstEvent()) {
      runTimes.onItemCompleted(run.item.outputTokens(), run.normalizedRunMs(nowMs));
    }
  }

  /** Updates the pace of the engine and the time per event from new events of a running item. */
  void onEvents(ItemRun run, long nowMs) {
    run.reportPace(nowMs, runTimes::onEvents);
  }

  /** The slack of an item on its current engine, or on one of median pace if it does not run. */
  long slackMs(ItemRun run, long nowMs) {
    return slackMs(run, run.relativePace(), nowMs);
  }

  /**
   * The slack on an engine where work takes {@code relativePace} times as long as on one of median
   * pace.
   */
  long slackMs(ItemRun run, double relativePace, long nowMs) {
    long runMs = runTimes.eventsMs(run.inheritedEvents()) + run.normalizedRunMs(nowMs);
    long remainingMs = runTimes.remainingMs(run.item.outputTokens(), runMs);
    return run.dueMs() - logTimeMs.getAsLong() - Math.round(remainingMs * relativePace);
  }

  ItemUrgency urgency(ItemRun run, long nowMs) {
    return ItemUrgency.of(slackMs(run, nowMs));
  }

  /** Whether an item will be late where it runs but can be on time on an engine of median pace. */
  boolean canBeOnTimeElsewhere(ItemRun run, long nowMs) {
    return slackMs(run, nowMs) < 0 && slackMs(run, 1, nowMs) >= MOVE_MARGIN_MS;
  }

  /** Urgent items first, late ones last; within each group the one with the least slack first. */
  Comparator<ItemRun> startOrder(long nowMs) {
    return Comparator.<ItemRun, ItemUrgency>comparing(run -> urgency(run, nowMs))
        .thenComparingLong(run -> slackMs(run, nowMs));
  }
}
