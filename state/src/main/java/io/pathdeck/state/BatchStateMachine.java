package io.pathdeck.state;

import io.pathdeck.protocol.command.AdvanceTime;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.DiscardBatchProgress;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.EndBatch;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.ListBatchResultsV1;
import io.pathdeck.protocol.command.QuotaExceeded;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.RecordBatchProgressV1;
import io.pathdeck.protocol.command.RecordBatchProgressV2;
import io.pathdeck.protocol.command.RecordItemCrashes;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.ItemCrashes;
import io.pathdeck.protocol.legacy.BatchJobRecordV1;
import io.pathdeck.protocol.legacy.BatchJobRecordV2;
import io.pathdeck.protocol.legacy.BatchOutcomeV1;
import io.pathdeck.protocol.legacy.BatchProgressV1;
import io.pathdeck.protocol.legacy.BatchProgressV2;
import io.pathdeck.protocol.query.BatchItemBody;
import io.pathdeck.protocol.query.BatchMissing;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadBatchItem;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import io.pathdeck.protocol.snapshot.ItemCrashesRecord;
import io.pathdeck.protocol.snapshot.MetaRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The state of a batch group: jobs with their items and results.
 *
 * <p>While its job is kept, an item has at most one result, whose position does not change; further
 * outcomes are ignored. Commands are idempotent by the job's id, so their results need not be
 * stored for resends.
 */
public final class BatchStateMachine implements StateMachine {
  /** How many times as fast as real time the time of the log may pass. */
  private static final int MAX_LOG_TIME_RATE = 2;

  /** How long callers may read a job after its submission, in real time, with a reserve. */
  private static final long READABLE_MS = 125_000;

  /** How long an inactive job is kept after its submission, in log time. */
  static final long MIN_RETENTION_MS = MAX_LOG_TIME_RATE * READABLE_MS;

  private final LogClock clock = new LogClock();
  private final Map<String, BatchJob> jobs = new LinkedHashMap<>();

  /** The job with this id. */
  public Optional<BatchJob> job(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  /** All jobs, oldest first. */
  public Collection<BatchJob> jobs() {
    return jobs.values();
  }

  /** An estimate of the heap that all jobs take, in bytes. */
  public long heapBytes() {
    return jobs.values().stream().mapToLong(BatchJob::heapBytes).sum();
  }

  @Override
  public long logTimeMs() {
    return clock.nowMs();
  }

  @Override
  public boolean needsTimeAdvance() {
    return !jobs.isEmpty();
  }

  @Override
  public CommandResult apply(CommandEnvelope envelope) {
    long nowMs = clock.advance(envelope.proposedAtMs());
    expire(nowMs);
    Command command = envelope.command();
    if (command instanceof SubmitBatch submit) {
      return submit(submit, nowMs);
    }
    if (command instanceof RecordBatchProgress progress) {
      return recordProgress(progress.progress());
    }
    if (command instanceof RecordBatchProgressV1 progress) {
      return recordProgress(progress.progress().stream().map(BatchProgressV1::toCurrent).toList());
    }
    if (command instanceof RecordBatchProgressV2 progress) {
      return recordProgress(progress.progress().stream().map(BatchProgressV2::toCurrent).toList());
    }
    if (command instanceof DiscardBatchProgress discard) {
      return discardProgress(discard);
    }
    if (command instanceof RecordItemCrashes crashes) {
      recordCrashes(crashes.items());
      return new Done();
    }
    if (command instanceof ListBatchResults listResults) {
      return addOutcomes(listResults.jobId(), listResults.outcomes());
    }
    if (command instanceof ListBatchResultsV1 listResults) {
      List<BatchOutcome> outcomes =
          listResults.outcomes().stream().map(BatchOutcomeV1::toCurrent).toList();
      return addOutcomes(listResults.jobId(), outcomes);
    }
    if (command instanceof EndBatch end) {
      return endJob(end);
    }
    if (command instanceof AdvanceTime) {
      return new Done();
    }
    return new Rejected(RejectionCode.INVALID, "not a command of a batch group");
  }

  private void expire(long nowMs) {
    jobs.values()
        .removeIf(job -> !job.isActive() && nowMs - job.submittedAtMs() > MIN_RETENTION_MS);
  }

  private CommandResult submit(SubmitBatch submit, long nowMs) {
    BatchJob existing = jobs.get(submit.jobId());
    if (existing != null) {
      return existing.belongsTo(submit.tenant())
          ? new BatchAccepted(submit.jobId())
          : new Rejected(RejectionCode.CONFLICT, "another tenant has a job of this id");
    }
    long queued = queuedTokens(submit.tenant(), submit.route());
    long added = submit.items().stream().mapToLong(BatchItem::tokens).sum();
    boolean limited = submit.maxQueuedTokens() > 0;
    if (limited && queued + added > submit.maxQueuedTokens()) {
      return new QuotaExceeded(queued, submit.maxQueuedTokens());
    }
    jobs.put(submit.jobId(), new BatchJob(submit, nowMs));
    return new BatchAccepted(submit.jobId());
  }

  private long queuedTokens(String tenant, String route) {
    long tokens = 0;
    for (BatchJob job : jobs.values()) {
      if (job.submission().route().equals(route) && job.belongsTo(tenant)) {
        tokens += job.queuedTokens();
      }
    }
    return tokens;
  }

  private CommandResult recordProgress(List<BatchProgress> progress) {
    for (BatchProgress events : progress) {
      BatchJob job = jobs.get(events.jobId());
      if (job != null) {
        job.recordProgress(events);
      }
    }
    return new Done();
  }

  private void recordCrashes(List<ItemCrashes> items) {
    for (ItemCrashes item : items) {
      BatchJob job = jobs.get(item.jobId());
      if (job != null) {
        job.recordCrashes(item, clock.nowMs());
      }
    }
  }

  private CommandResult discardProgress(DiscardBatchProgress discard) {
    BatchJob job = jobs.get(discard.jobId());
    if (job != null) {
      job.discardProgress(discard.itemId());
    }
    return new Done();
  }

  private CommandResult addOutcomes(String jobId, List<BatchOutcome> outcomes) {
    BatchJob job = jobs.get(jobId);
    if (job == null) {
      return new Rejected(RejectionCode.NOT_FOUND, "no job " + jobId);
    }
    boolean allListed = true;
    for (BatchOutcome outcome : outcomes) {
      allListed &= job.addOutcome(outcome);
    }
    return allListed
        ? new Done()
        : new Rejected(RejectionCode.CONFLICT, "the text does not follow what is recorded");
  }

  private CommandResult endJob(EndBatch end) {
    BatchJob job = visibleJob(end.tenant(), end.jobId());
    if (job == null) {
      return new Rejected(RejectionCode.NOT_FOUND, "no job " + end.jobId());
    }
    job.end();
    return new Done();
  }

  @Override
  public QueryResult query(Query query) {
    if (query instanceof ReadBatchResults read) {
      return readResults(read);
    }
    if (query instanceof ReadBatchItem read) {
      return readItem(read);
    }
    return new NotFound("not a query of a batch group");
  }

  /** The job with this id, or null when there is none or the tenant may not access it. */
  private BatchJob visibleJob(String tenant, String jobId) {
    BatchJob job = jobs.get(jobId);
    return job != null && job.belongsTo(tenant) ? job : null;
  }

  private QueryResult readResults(ReadBatchResults read) {
    BatchJob job = visibleJob(read.tenant(), read.jobId());
    if (job == null) {
      return new BatchMissing();
    }
    int from = Math.max(0, Math.min(read.from(), job.results().size()));
    List<BatchResult> page = new ArrayList<>();
    int bytes = 0;
    for (BatchResult result : job.results().subList(from, job.results().size())) {
      bytes += result.text().length();
      if (!page.isEmpty() && bytes > read.maxBytes()) {
        break;
      }
      page.add(result);
    }
    return new BatchResults(job.total(), from + page.size(), page);
  }

  private QueryResult readItem(ReadBatchItem read) {
    BatchJob job = visibleJob(read.tenant(), read.jobId());
    BatchItem item = job == null ? null : job.openItems().get(read.itemId());
    return item == null ? new BatchMissing() : new BatchItemBody(item.body());
  }

  @Override
  public Iterator<Object> captureSnapshot() {
    List<Object> records = new ArrayList<>();
    records.add(new MetaRecord(clock.nowMs(), 0, null));
    List<ItemCrashes> crashes = new ArrayList<>();
    for (BatchJob job : jobs.values()) {
      records.add(job.capture());
      crashes.addAll(job.captureCrashes());
    }
    if (!crashes.isEmpty()) {
      records.add(new ItemCrashesRecord(crashes));
    }
    return records.iterator();
  }

  @Override
  public void restoreSnapshot(Iterator<Object> records) {
    jobs.clear();
    while (records.hasNext()) {
      Object next = records.next();
      if (next instanceof MetaRecord header) {
        clock.restore(header.clockMs());
      } else if (next instanceof BatchJobRecord saved) {
        jobs.put(saved.submission().jobId(), BatchJob.restore(saved));
      } else if (next instanceof BatchJobRecordV1 saved) {
        jobs.put(saved.submission().jobId(), BatchJob.restore(saved.toCurrent()));
      } else if (next instanceof BatchJobRecordV2 saved) {
        jobs.put(saved.submission().jobId(), BatchJob.restore(saved.toCurrent()));
      } else if (next instanceof ItemCrashesRecord saved) {
        recordCrashes(saved.items());
      } else {
        throw StateMachine.unknownRecord(next);
      }
    }
  }
}
