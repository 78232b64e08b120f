package io.pathdeck.fleet.store;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Measures how long items are at no engine, by reason, and logs each item that waits too long with
 * room for it. Updated on the consensus thread; the counts may be read from any thread.
 */
final class ItemWaits {
  /** Wait with room for the item from which it is logged. */
  static final long MAX_WAIT_WITH_ROOM_MS = 5_000;

  /** A wait is logged again once it lasts this many times as long. */
  private static final int REPORT_FACTOR = 2;

  /**
   * Waiting items of one reason.
   *
   * @param longestMs the longest time since an item was at an engine or became known
   */
  record Count(int items, long longestMs) {
    static final Count NONE = new Count(0, 0);

    private Count plus(long waitMs) {
      return new Count(items + 1, Math.max(longestMs, waitMs));
    }
  }

  private volatile Map<WaitReason, Count> counts = Map.of();

  /** Examines all items of a leader; {@code hasRoom} tells whether an engine could take an item. */
  void update(Collection<ItemRun> runs, Predicate<ItemRun> hasRoom, long nowMs) {
    Map<WaitReason, Count> newCounts = new EnumMap<>(WaitReason.class);
    for (ItemRun run : runs) {
      if (!run.isRunning()) {
        long waitMs = run.waitMs(nowMs);
        WaitReason reason = run.waitReason(nowMs);
        newCounts.merge(reason, Count.NONE.plus(waitMs), (known, one) -> known.plus(waitMs));
        if (isReportDue(run, waitMs) && hasRoom.test(run)) {
          run.markWaitReported(waitMs);
          ItemLog.waits(run, reason, waitMs, run.minAgeMs(nowMs));
        }
      }
    }
    counts = newCounts;
  }

  private static boolean isReportDue(ItemRun run, long waitMs) {
    return waitMs > Math.max(MAX_WAIT_WITH_ROOM_MS, REPORT_FACTOR * run.reportedWaitMs());
  }

  /** Forgets all items, when this store no longer leads. */
  void clear() {
    counts = Map.of();
  }

  /** Returns the items that wait for this reason; safe from any thread. */
  Count count(WaitReason reason) {
    return counts.getOrDefault(reason, Count.NONE);
  }
}
