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

  /** Returns a live view of all runs. */
  Collection<ItemRun> all() {
    return runs.values();
  }

  /** Returns a copy of all runs, for loops that remove some. */
  List<ItemRun> copy() {
    return List.copyOf(runs.values());
  }

  /**
   * Passes the runs of items that have a result or whose job has ended to {@code onRemoved} and
   * removes them, then adds a run for each new open item.
   */
  void update(Collection<BatchJob> jobs, Consumer<ItemRun> onRemoved, long nowMs, long logTimeMs) {
    runs.values().removeIf(run -> notifyIfOver(run, onRemoved));
    for (BatchJob job : jobs) {
      if (job.isActive()) {
        job.openItems().values().forEach(item -> addIfAbsent(job, item, nowMs, logTimeMs));
      }
    }
  }

  private static boolean notifyIfOver(ItemRun run, Consumer<ItemRun> onRemoved) {
    boolean isOver = run.job.isEnded() || !run.job.openItems().containsKey(run.item.id());
    if (isOver) {
      onRemoved.accept(run);
    }
    return isOver;
  }

  private void addIfAbsent(BatchJob job, BatchItem item, long nowMs, long logTimeMs) {
    ItemKey key = new ItemKey(job.submission().jobId(), item.id());
    runs.computeIfAbsent(key, newKey -> new ItemRun(job, item, nowMs, logTimeMs));
  }

  /** Removes a run; the next {@link #update} adds a new one for the item. */
  void remove(ItemRun run) {
    runs.remove(key(run), run);
  }

  void clear() {
    runs.clear();
  }
}
