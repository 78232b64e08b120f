package io.pathdeck.state;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A batch job: its items that wait and its results in the order in which they were listed. */
public final class BatchJob {
  private final SubmitBatch submission;
  private final long submittedAtMs;
  private final Map<String, BatchItem> openItems = new LinkedHashMap<>();
  private final Map<String, ItemProgress> progress = new HashMap<>();
  private final List<BatchResult> results = new ArrayList<>();
  private long openTokens;
  private boolean ended;

  BatchJob(SubmitBatch submission, long submittedAtMs) {
    this.submission = submission;
    this.submittedAtMs = submittedAtMs;
    for (BatchItem item : submission.items()) {
      openItems.put(item.id(), item);
      openTokens += item.tokens();
    }
  }

  static BatchJob restore(BatchJobRecord saved) {
    BatchJob job = new BatchJob(saved.submission(), saved.submittedAtMs());
    saved.results().forEach(job::addResult);
    saved.progress().forEach(job::recordProgress);
    job.ended = saved.ended();
    return job;
  }

  /** Whether {@code tenant} may see the job; without tenants on either side everybody may. */
  boolean belongsTo(String tenant) {
    String owner = submission.tenant();
    return owner.isEmpty() || tenant.isEmpty() || owner.equals(tenant);
  }

  /** Records events of an open item; returns whether they follow what is recorded. */
  boolean recordProgress(BatchProgress events) {
    ItemProgress before = progress(events.itemId());
    boolean follows = events.afterEvent() == before.lastEvent();
    if (!openItems.containsKey(events.itemId()) || !follows) {
      return false;
    }
    progress.put(events.itemId(), before.plus(events.lastEvent(), events.text()));
    return true;
  }

  /**
   * Lists an outcome; returns whether the item has one afterwards. The text of a whole item must
   * follow what is recorded.
   */
  boolean addOutcome(BatchOutcome outcome) {
    if (!openItems.containsKey(outcome.itemId())) {
      return true;
    }
    ItemProgress before = progress(outcome.itemId());
    if (!outcome.done()) {
      addResult(new BatchResult(outcome.itemId(), false, ""));
      return true;
    }
    if (outcome.afterEvent() != before.lastEvent()) {
      return false;
    }
    String text = ItemProgress.join(before.text(), outcome.text());
    addResult(new BatchResult(outcome.itemId(), true, text));
    return true;
  }

  private void addResult(BatchResult result) {
    BatchItem item = openItems.remove(result.itemId());
    progress.remove(result.itemId());
    openTokens -= item.tokens();
    results.add(result);
  }

  void end() {
    ended = true;
  }

  BatchJobRecord capture() {
    List<BatchProgress> recorded = new ArrayList<>();
    progress.forEach((item, events) -> recorded.add(capture(item, events)));
    return new BatchJobRecord(submission, submittedAtMs, ended, new ArrayList<>(results), recorded);
  }

  private BatchProgress capture(String itemId, ItemProgress events) {
    return new BatchProgress(
        submission.jobId(), itemId, BatchProgress.NO_EVENT, events.lastEvent(), events.text());
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
  public Map<String, BatchItem> openItems() {
    return openItems;
  }

  /** What is recorded of an open item. */
  public ItemProgress progress(String itemId) {
    return progress.getOrDefault(itemId, ItemProgress.NONE);
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
    return !ended && !openItems.isEmpty();
  }

  /** The tokens of items that wait; none once the job has ended. */
  long queuedTokens() {
    return ended ? 0 : openTokens;
  }
}
