package io.pathdeck.fleet.store;

import java.util.Comparator;
import java.util.function.LongSupplier;

/**
 * Computes how long items can wait and still be on time, or be done at all before they are given
 * up; confined to one thread.
 */
final class ItemSlack {
  /** Minimum slack for a move; covers the retry delay after a stop and a few scheduling steps. */
  private static final long MOVE_MARGIN_MS = 800;

  /** Late items with less time to spare compete again; covers several stops for online requests. */
  private static final long EXPIRING_SLACK_MS = 10_000;

  private final RunTimeEstimate runTimeEstimate = new RunTimeEstimate();
  private final LongSupplier logTimeMs;

  /** Computes slack from log time, in which due times are given. */
  ItemSlack(LongSupplier logTimeMs) {
    this.logTimeMs = logTimeMs;
  }

  void onItemCompleted(ItemRun run, long nowMs) {
    if (run.startedAtFirstEvent()) {
      runTimeEstimate.onItemCompleted(run.item.outputTokens(), run.normalizedRunMs(nowMs));
    }
  }

  /** Updates the pace of the engine and the time per event from new events of a running item. */
  void onEvents(ItemRun run, long nowMs) {
    run.reportPace(nowMs, runTimeEstimate::onEvents);
  }

  /** Returns the slack on the current engine, or on one of median pace if the item does not run. */
  long slackMs(ItemRun run, long nowMs) {
    return slackMs(run, run.relativePace(), nowMs);
  }

  /**
   * Returns the slack on an engine with this relative pace; see {@link ItemRun#relativePace}. That
   * of an item that is late and about to expire is the time it can wait and still be done.
   */
  long slackMs(ItemRun run, double relativePace, long nowMs) {
    long runMs = runTimeEstimate.eventsRunMs(run.inheritedEvents()) + run.normalizedRunMs(nowMs);
    long remainingMs = runTimeEstimate.remainingMs(run.item.outputTokens(), runMs);
    long doneMs = logTimeMs.getAsLong() + Math.round(remainingMs * relativePace);
    long slackMs = run.dueMs() - doneMs;
    long expirySlackMs = run.expiryMs() - doneMs;
    boolean isExpiring = expirySlackMs >= 0 && expirySlackMs < EXPIRING_SLACK_MS;
    return slackMs < 0 && isExpiring ? expirySlackMs : slackMs;
  }

  ItemUrgency urgency(ItemRun run, long nowMs) {
    return ItemUrgency.of(slackMs(run, nowMs));
  }

  /** Whether an item will be late on its current engine but on time on one of median pace. */
  boolean canBeOnTimeElsewhere(ItemRun run, long nowMs) {
    return slackMs(run, nowMs) < 0 && slackMs(run, 1, nowMs) >= MOVE_MARGIN_MS;
  }

  /** Orders items by urgency, then by slack, least slack first. */
  Comparator<ItemRun> startOrder(long nowMs) {
    return Comparator.<ItemRun, ItemUrgency>comparing(run -> urgency(run, nowMs))
        .thenComparingLong(run -> slackMs(run, nowMs));
  }

  /**
   * Orders running items by how little a stop costs: least urgent first, of these first those whose
   * run has gained something, then most slack first.
   */
  Comparator<ItemRun> yieldOrder(long nowMs) {
    return Comparator.<ItemRun, ItemUrgency>comparing(run -> urgency(run, nowMs))
        .reversed()
        .thenComparing(run -> run.attemptMs(nowMs) < ItemRun.MIN_RUN_MS)
        .thenComparing(startOrder(nowMs).reversed());
  }
}
