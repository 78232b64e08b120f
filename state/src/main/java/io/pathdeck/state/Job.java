package io.pathdeck.state;

import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.JobView;
import java.util.BitSet;

/** A batch job: its items, which of them are waiting, and their results. */
final class Job {
  private final JobSpec spec;
  private final StoredFile file;
  private final long createdAtMs;
  private final byte[][] results;
  private final BitSet failures = new BitSet();
  private final BitSet waiting = new BitSet();
  private JobStatus status = JobStatus.IN_PROGRESS;
  private long finishedAtMs;
  private int succeeded;
  private int failed;
  private int leased;

  Job(JobSpec spec, StoredFile file, long createdAtMs) {
    this.spec = spec;
    this.file = file;
    this.createdAtMs = createdAtMs;
    this.results = new byte[file.lines()][];
    this.waiting.set(0, file.lines());
  }

  static Job restore(JobView view, StoredFile file) {
    Job job = new Job(view.spec(), file, view.createdAtMs());
    job.status = view.status();
    job.finishedAtMs = view.finishedAtMs();
    if (view.status().isTerminal()) {
      job.waiting.clear();
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

  long finishedAtMs() {
    return finishedAtMs;
  }

  long deadlineMs() {
    return createdAtMs + spec.completionWindowMs();
  }

  int size() {
    return results.length;
  }

  int waitingCount() {
    return waiting.cardinality();
  }

  int leasedCount() {
    return leased;
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  byte[] itemLine(int index) {
    return file.line(index);
  }

  byte[] result(int index) {
    return results[index];
  }

  boolean isFailure(int index) {
    return failures.get(index);
  }

  /** Marks the first waiting item as leased and returns its index; -1 when none is waiting. */
  int takeWaiting() {
    int index = waiting.nextSetBit(0);
    if (index >= 0) {
      waiting.clear(index);
      leased++;
    }
    return index;
  }

  /** Marks an item as leased while a snapshot is restored; it may already have a result. */
  void restoreLeased(int index) {
    waiting.clear(index);
    leased++;
  }

  /** Returns an item whose lease ended without a result to the waiting items. */
  void requeueItem(int index) {
    leased--;
    if (!status.isTerminal() && results[index] == null) {
      waiting.set(index);
    }
  }

  /** Counts down the leased items without returning the item to the waiting ones. */
  void endLease() {
    leased--;
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
    waiting.clear(index);
    if (succeeded + failed == results.length) {
      finish(JobStatus.COMPLETED, nowMs);
    }
    return true;
  }

  /** Stores a result without checks and without changing the job's status. */
  void setResult(int index, byte[] line, boolean success) {
    results[index] = line;
    waiting.clear(index);
    if (success) {
      succeeded++;
    } else {
      failures.set(index);
      failed++;
    }
  }

  /** Ends the job; waiting items will not run. */
  void finish(JobStatus terminal, long nowMs) {
    if (!status.isTerminal()) {
      status = terminal;
      finishedAtMs = nowMs;
      waiting.clear();
    }
  }

  JobView view() {
    return new JobView(
        spec, status, results.length, succeeded, failed, leased, createdAtMs, finishedAtMs);
  }
}
