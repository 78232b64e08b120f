package io.pathdeck.state;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.ItemCrashes;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A job of a {@link BatchStateMachine}: its items are part of the submission, and their progress is
 * recorded until each has a result. The content of an item is kept until then, since jobs stay
 * readable for long after their last result.
 */
public final class BatchJob {
  /**
   * Crashes of engines in a row under an item.
   *
   * @param lastMs when the last one was recorded, in log time; later if only a snapshot tells
   */
  private record Crashes(int count, long lastMs) {
    static final Crashes NONE = new Crashes(0, 0);
  }

  private final SubmitBatch submission;
  private final long submittedAtMs;
  private final Map<String, BatchItem> openItems = new LinkedHashMap<>();
  private final Map<String, ItemProgress> progress = new HashMap<>();
  private final Map<String, Crashes> crashes = new HashMap<>();
  private final List<BatchResult> results = new ArrayList<>();
  private long openTokens;
  private long heapBytes;
  private boolean ended;

  BatchJob(SubmitBatch submission, long submittedAtMs) {
    this.submission =
        submission.withItems(submission.items().stream().map(BatchItem::withoutContent).toList());
    this.submittedAtMs = submittedAtMs;
    for (BatchItem item : submission.items()) {
      openItems.put(item.id(), item);
      openTokens += item.tokens();
      heapBytes += HeapSizes.ofOpenItem(item);
    }
  }

  static BatchJob restore(BatchJobRecord jobRecord) {
    BatchJob job = new BatchJob(jobRecord.submission(), jobRecord.submittedAtMs());
    jobRecord.results().forEach(job::addResult);
    jobRecord.progress().forEach(job::recordProgress);
    job.ended = jobRecord.ended();
    return job;
  }

  /**
   * Whether {@code tenant} may access the job. An empty {@code tenant} may access every job, and a
   * job that was submitted without a tenant is open to all.
   */
  boolean belongsTo(String tenant) {
    String owner = submission.tenant();
    return owner.isEmpty() || tenant.isEmpty() || owner.equals(tenant);
  }

  /**
   * Records events of an open item if they directly follow the recorded ones and come from the same
   * origin; returns whether they were recorded.
   */
  boolean recordProgress(BatchProgress events) {
    ItemProgress recorded = progress(events.itemId());
    if (!openItems.containsKey(events.itemId()) || !recorded.isFollowedBy(events)) {
      return false;
    }
    ItemProgress advanced = recorded.plus(events);
    progress.put(events.itemId(), advanced);
    heapBytes += advanced.heapBytes() - recorded.heapBytes();
    crashes.remove(events.itemId());
    return true;
  }

  /** Discards the recorded events of an item, which begins anew. */
  void discardProgress(String itemId) {
    heapBytes -= progress(itemId).heapBytes();
    progress.remove(itemId);
  }

  /** Records how many engines have crashed in a row under an item, if it is open. */
  void recordCrashes(ItemCrashes itemCrashes, long nowMs) {
    if (openItems.containsKey(itemCrashes.itemId())) {
      crashes.put(itemCrashes.itemId(), new Crashes(itemCrashes.crashes(), nowMs));
    }
  }

  /**
   * Adds an outcome unless the item already has one. Returns false if the item remains open because
   * the text of a completed item does not directly follow the recorded events.
   */
  boolean addOutcome(BatchOutcome outcome) {
    if (!openItems.containsKey(outcome.itemId())) {
      return true;
    }
    ItemProgress recorded = progress(outcome.itemId());
    if (!outcome.done()) {
      addResult(new BatchResult(outcome.itemId(), false, ""));
      return true;
    }
    if (outcome.afterEvent() != recorded.lastEvent()) {
      return false;
    }
    String text = EventData.toText(recorded.data() + outcome.data());
    addResult(new BatchResult(outcome.itemId(), true, text));
    return true;
  }

  private void addResult(BatchResult result) {
    BatchItem item = openItems.remove(result.itemId());
    discardProgress(result.itemId());
    crashes.remove(result.itemId());
    openTokens -= item.tokens();
    heapBytes += HeapSizes.ofText(result.text()) - HeapSizes.ofContent(item);
    results.add(result);
  }

  void end() {
    ended = true;
  }

  BatchJobRecord capture() {
    List<BatchProgress> recordedProgress = new ArrayList<>();
    progress.forEach((item, events) -> recordedProgress.add(capture(item, events)));
    List<BatchItem> items =
        submission.items().stream().map(item -> openItems.getOrDefault(item.id(), item)).toList();
    return new BatchJobRecord(
        submission.withItems(items),
        submittedAtMs,
        ended,
        new ArrayList<>(results),
        recordedProgress);
  }

  /** Returns the open items under which engines have crashed in a row. */
  List<ItemCrashes> captureCrashes() {
    List<ItemCrashes> items = new ArrayList<>();
    crashes.forEach(
        (item, known) -> items.add(new ItemCrashes(submission.jobId(), item, known.count())));
    return items;
  }

  private BatchProgress capture(String itemId, ItemProgress events) {
    return new BatchProgress(
        submission.jobId(),
        itemId,
        events.origin(),
        BatchProgress.NO_EVENT,
        events.lastEvent(),
        events.data(),
        events.mayLackData());
  }

  /** The job as it was submitted, without the content of its items. */
  public SubmitBatch submission() {
    return submission;
  }

  /** When the job was accepted, in log time. */
  public long submittedAtMs() {
    return submittedAtMs;
  }

  /** The items without a result, in the order of the submission. */
  public Map<String, BatchItem> openItems() {
    return openItems;
  }

  /** The recorded progress of an open item. */
  public ItemProgress progress(String itemId) {
    return progress.getOrDefault(itemId, ItemProgress.NONE);
  }

  /** How many engines have crashed in a row under an open item, as far as it is recorded. */
  public int crashes(String itemId) {
    return crashes.getOrDefault(itemId, Crashes.NONE).count();
  }

  /** When the last of these crashes was recorded at the latest, in log time. */
  public long lastCrashMs(String itemId) {
    return crashes.getOrDefault(itemId, Crashes.NONE).lastMs();
  }

  /** The results in the order in which they were added. */
  public List<BatchResult> results() {
    return results;
  }

  /** The number of items. */
  public int total() {
    return submission.items().size();
  }

  /** Whether the caller has ended the job. */
  public boolean isEnded() {
    return ended;
  }

  /** Whether any item of the job may still run. */
  public boolean isActive() {
    return !ended && !openItems.isEmpty();
  }

  /** An estimate of the heap that the job takes, in bytes. */
  long heapBytes() {
    return heapBytes;
  }

  /** The tokens of open items; 0 once the job has ended. */
  long queuedTokens() {
    return ended ? 0 : openTokens;
  }
}
