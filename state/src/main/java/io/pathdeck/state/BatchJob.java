package io.pathdeck.state;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A batch job: its items that wait and its results in the order in which they were listed. */
public final class BatchJob {
  private final SubmitBatch submission;
  private final long submittedAtMs;
  private final Map<String, BatchItem> open = new LinkedHashMap<>();
  private final List<BatchResult> results = new ArrayList<>();
  private long openTokens;
  private boolean ended;

  BatchJob(SubmitBatch submission, long submittedAtMs) {
    this.submission = submission;
    this.submittedAtMs = submittedAtMs;
    for (BatchItem item : submission.items()) {
      open.put(item.id(), item);
      openTokens += item.tokens();
    }
  }

  static BatchJob restore(BatchJobRecord saved) {
    BatchJob job = new BatchJob(saved.submission(), saved.submittedAtMs());
    saved.results().forEach(job::list);
    job.ended = saved.ended();
    return job;
  }

  /** Lists an outcome; returns whether it is new. */
  boolean list(BatchResult result) {
    BatchItem item = open.remove(result.itemId());
    if (item == null) {
      return false;
    }
    openTokens -= item.tokens();
    results.add(result);
    return true;
  }

  void end() {
    ended = true;
  }

  BatchJobRecord capture() {
    return new BatchJobRecord(submission, submittedAtMs, ended, new ArrayList<>(results));
  }

  /** The job as it was submitted. */
  public SubmitBatch submission() {
    return submission;
  }

  /** When it was accepted, in the time of the log. */
  public long submittedAtMs() {
    return submittedAtMs;
  }

  /** The items without a result, in the order of the submission. */
  public Map<String, BatchItem> open() {
    return open;
  }

  /** The results by position. */
  public List<BatchResult> results() {
    return results;
  }

  /** The number of items. */
  public int total() {
    return submission.items().size();
  }

  /** Whether the caller has ended it. */
  public boolean isEnded() {
    return ended;
  }

  /** Whether anything of it may still run. */
  public boolean isActive() {
    return !ended && !open.isEmpty();
  }

  /** The tokens of items that wait; none once the job has ended. */
  long queuedTokens() {
    return ended ? 0 : openTokens;
  }
}
