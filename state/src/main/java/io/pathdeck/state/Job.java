package io.pathdeck.state;

import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.JobView;
import java.util.BitSet;

/**
 * A job of a {@link JobsStateMachine}: its items are the lines of an uploaded file and are leased
 * to dispatchers.
 */
final class Job {
  private final JobSpec spec;
  private final StoredFile file;
  private final long createdAtMs;
  private final byte[][] results;
  private final BitSet failedItems = new BitSet();
  private final BitSet waitingItems = new BitSet();
  private JobStatus status = JobStatus.IN_PROGRESS;
  private long endedAtMs;
  private int succeededCount;
  private int failedCount;
  private int leasedCount;

  Job(JobSpec spec, StoredFile file, long createdAtMs) {
    this.spec = spec;
    this.file = file;
    this.createdAtMs = createdAtMs;
    this.results = new byte[file.lineCount()][];
    this.waitingItems.set(0, file.lineCount());
  }

  static Job restore(JobView view, StoredFile file) {
    Job job = new Job(view.spec(), file, view.createdAtMs());
    job.status = view.status();
    job.endedAtMs = view.finishedAtMs();
    if (view.status().isTerminal()) {
      job.waitingItems.clear();
    }
    return job;
  }

  JobSpec spec() {
    return spec;
  }

  JobStatus status() {
    return status;
  }

  long createdAtMs() {
    return createdAtMs;
  }

  long endedAtMs() {
    return endedAtMs;
  }

  long deadlineMs() {
    return createdAtMs + spec.completionWindowMs();
  }

  int size() {
    return results.length;
  }

  int waitingCount() {
    return waitingItems.cardinality();
  }

  int leasedCount() {
    return leasedCount;
  }

  boolean hasWaiting() {
    return !waitingItems.isEmpty();
  }

  byte[] itemLine(int index) {
    return file.line(index);
  }

  byte[] result(int index) {
    return results[index];
  }

  boolean isFailure(int index) {
    return failedItems.get(index);
  }

  /** Marks the first waiting item as leased and returns its index; -1 when none is waiting. */
  int takeWaiting() {
    int index = waitingItems.nextSetBit(0);
    if (index >= 0) {
      waitingItems.clear(index);
      leasedCount++;
    }
    return index;
  }

  /** Marks an item as leased while a snapshot is restored; it may already have a result. */
  void restoreLeased(int index) {
    waitingItems.clear(index);
    leasedCount++;
  }

  /** Returns an item whose lease ended without a result to the waiting items. */
  void requeueItem(int index) {
    leasedCount--;
    if (!status.isTerminal() && results[index] == null) {
      waitingItems.set(index);
    }
  }

  /** Counts down the leased items without returning the item to the waiting ones. */
  void endLease() {
    leasedCount--;
  }

  /**
   * Stores an item's result unless it has one or the job has ended.
   *
   * @return whether the result was stored
   */
  boolean storeResult(int index, byte[] line, boolean success, long nowMs) {
    if (status.isTerminal() || index < 0 || index >= results.length || results[index] != null) {
      return false;
    }
    setResult(index, line, success);
    waitingItems.clear(index);
    if (succeededCount + failedCount == results.length) {
      end(JobStatus.COMPLETED, nowMs);
    }
    return true;
  }

  /** Stores a result without checks and without changing the job's status. */
  void setResult(int index, byte[] line, boolean success) {
    results[index] = line;
    waitingItems.clear(index);
    if (success) {
      succeededCount++;
    } else {
      failedItems.set(index);
      failedCount++;
    }
  }

  /** Ends the job; waiting items will not run. */
  void end(JobStatus endStatus, long nowMs) {
    if (!status.isTerminal()) {
      status = endStatus;
      endedAtMs = nowMs;
      waitingItems.clear();
    }
  }

  JobView view() {
    return new JobView(
        spec,
        status,
        results.length,
        succeededCount,
        failedCount,
        leasedCount,
        createdAtMs,
        endedAtMs);
  }
}
