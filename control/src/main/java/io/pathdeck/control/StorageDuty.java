package io.pathdeck.control;

import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.protocol.raft.LogRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Makes log records durable: everything that waits goes into one batch with one sync. */
final class StorageDuty implements Duty {
  private static final EventLog EVENTS = EventLog.of(StorageDuty.class);
  private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_BATCHES = 256;

  private final SegmentedLog log;
  private final BoundedRing<StorageBatch> batches;
  private final Consumer<ControllerEvent> completions;
  private final Runnable onFailure;
  private volatile Map<Integer, Long> coveredIndexes = Map.of();
  private Map<Integer, Long> deletedUpTo = Map.of();

  StorageDuty(
      SegmentedLog log,
      BoundedRing<StorageBatch> batches,
      Consumer<ControllerEvent> completions,
      Runnable onFailure) {
    this.log = log;
    this.batches = batches;
    this.completions = completions;
    this.onFailure = onFailure;
  }

  @Override
  public String name() {
    return "storage";
  }

  /** Lets segments go whose entries snapshots cover. Thread-safe. */
  void coverUpTo(Map<Integer, Long> snapshotIndexes) {
    coveredIndexes = Map.copyOf(snapshotIndexes);
  }

  @Override
  public int doWork(long nowNs) {
    List<StorageBatch> waiting = new ArrayList<>();
    batches.drain(waiting::add, MAX_BATCHES);
    if (waiting.isEmpty()) {
      return 0;
    }
    try {
      sync(waiting);
      deleteCoveredSegments();
    } catch (IOException e) {
      // After a failed sync it is unknown what is durable: the process must not go on.
      EVENTS.log(EventCode.STORAGE_FAILED, e);
      onFailure.run();
      return 0;
    }
    completions.accept(
        new ControllerEvent.Synced(waiting.stream().map(StorageBatch::synced).toList()));
    return waiting.size();
  }

  private void sync(List<StorageBatch> waiting) throws IOException {
    List<LogRecord> records = new ArrayList<>();
    waiting.forEach(batch -> records.addAll(batch.records()));
    if (!records.isEmpty()) {
      log.append(records);
    }
  }

  private void deleteCoveredSegments() throws IOException {
    Map<Integer, Long> covered = coveredIndexes;
    if (!covered.equals(deletedUpTo)) {
      log.deleteCoveredSegments(covered);
      deletedUpTo = covered;
    }
  }

  @Override
  public long maxIdleNs() {
    return MAX_IDLE_NS;
  }

  @Override
  public void onClose() {
    try {
      log.close();
    } catch (IOException e) {
      EVENTS.log(EventCode.STORAGE_FAILED, e);
    }
  }
}
