package io.pathdeck.fleet.store;

import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.state.BatchJob;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The runs of all items that have no result yet; confined to the consensus thread. */
final class ItemRuns {
  private record ItemKey(String jobId, String itemId) {}

  private final Map<ItemKey, ItemRun> runs = new HashMap<>();

  private static ItemKey key(ItemRun run) {
    return new ItemKey(run.job.submission().jobId(), run.item.id());
  }

  /** A live view of all runs; see {@link #copy} for loops that remove some. */
  Collection<ItemRun> all() {
    return runs.values();
  }

  /** A copy of all runs. */
  List<ItemRun> copy() {
    return List.copyOf(runs.values());
  }

  /**
   * Adds a run for each open item, and removes those of items that have a result or whose job has
   * ended, after passing them to {@code onRemoved}.
   */
  void update(Collection<BatchJob> jobs, Consumer<ItemRun> onRemoved, long nowMs, long logTimeMs) {
    runs.values().removeIf(run -> isOver(run, onRemoved));
    for (BatchJob job : jobs) {
      if (job.isActive()) {
        job.openItems().values().forEach(item -> addIfAbsent(job, item, nowMs, logTimeMs));
      }
    }
  }

  private static boolean isOver(ItemRun run, Consumer<ItemRun> onRemoved) {
    boolean over = run.job.isEnded() || !run.job.openItems().containsKey(run.item.id());
    if (over) {
      onRemoved.accept(run);
    }
    return over;
  }

  private void addIfAbsent(BatchJob job, BatchItem item, long nowMs, long logTimeMs) {
    ItemKey key = new ItemKey(job.submission().jobId(), item.id());
    runs.computeIfAbsent(key, absent -> new ItemRun(job, item, nowMs, logTimeMs));
  }

  /** Removes a run; the next {@link #update} adds a new one for the item. */
  void remove(ItemRun run) {
    runs.remove(key(run), run);
  }

  void clear() {
    runs.clear();
  }
}
