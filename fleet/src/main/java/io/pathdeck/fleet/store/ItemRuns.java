package io.pathdeck.fleet.store;

import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.state.BatchJob;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The items that have no result yet, one run for each; confined to the consensus thread. */
final class ItemRuns {
  private record ItemKey(String jobId, String itemId) {}

  private final Map<ItemKey, ItemRun> runs = new HashMap<>();

  private static ItemKey key(ItemRun run) {
    return new ItemKey(run.job.submission().jobId(), run.item.id());
  }

  /** All runs; not to be kept over a change. */
  Collection<ItemRun> all() {
    return runs.values();
  }

  /** A copy of all runs, for actions that may remove some. */
  List<ItemRun> copy() {
    return List.copyOf(runs.values());
  }

  /**
   * Follows the jobs: begins a run for each open item, and forgets those that have a result or
   * whose job was ended after giving them to {@code onOver}.
   */
  void update(Collection<BatchJob> jobs, Consumer<ItemRun> onOver, long nowMs, long logTimeMs) {
    runs.values().removeIf(run -> isOver(run, onOver));
    for (BatchJob job : jobs) {
      if (job.isActive()) {
        job.openItems().values().forEach(item -> addIfAbsent(job, item, nowMs, logTimeMs));
      }
    }
  }

  private static boolean isOver(ItemRun run, Consumer<ItemRun> onOver) {
    boolean over = run.job.isEnded() || !run.job.openItems().containsKey(run.item.id());
    if (over) {
      onOver.accept(run);
    }
    return over;
  }

  private void addIfAbsent(BatchJob job, BatchItem item, long nowMs, long logTimeMs) {
    ItemKey key = new ItemKey(job.submission().jobId(), item.id());
    runs.computeIfAbsent(key, absent -> new ItemRun(job, item, nowMs, logTimeMs));
  }

  /** Forgets a run; the item begins a new one with the next {@link #update}. */
  void remove(ItemRun run) {
    runs.remove(key(run), run);
  }

  void clear() {
    runs.clear();
  }
}
