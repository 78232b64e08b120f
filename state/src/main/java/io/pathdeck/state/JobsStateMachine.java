package io.pathdeck.state;

import io.pathdeck.protocol.command.AdvanceTime;
import io.pathdeck.protocol.command.AppendFileChunk;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.ClaimRequest;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CommitResults;
import io.pathdeck.protocol.command.CompleteClaim;
import io.pathdeck.protocol.command.CreateFile;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.FileStored;
import io.pathdeck.protocol.command.ItemsLeased;
import io.pathdeck.protocol.command.JobAccepted;
import io.pathdeck.protocol.command.LeaseItems;
import io.pathdeck.protocol.command.LeasesRenewed;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.ReleaseClaim;
import io.pathdeck.protocol.command.ReleaseItems;
import io.pathdeck.protocol.command.RenewLeases;
import io.pathdeck.protocol.command.ReserveKey;
import io.pathdeck.protocol.command.ResultsCommitted;
import io.pathdeck.protocol.command.SealFile;
import io.pathdeck.protocol.command.SubmitJob;
import io.pathdeck.protocol.model.ItemRef;
import io.pathdeck.protocol.model.ItemResult;
import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.LeasedItem;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of one jobs partition: files, jobs, results, leases, idempotency keys and claims.
 *
 * <p>An item has at most one result, the first that was committed; a lease only decides which
 * dispatcher should run it. When the lease of an item of a non-repeatable job expires, the item
 * gets a result with an unknown outcome and is never leased again.
 */
public final class JobsStateMachine implements StateMachine {
  /** How long files and ended jobs are kept, in log time. */
  public static final long RETENTION_MS = 7 * 24 * 60 * 60 * 1_000L;

  private static final long SWEEP_INTERVAL_MS = 1_000;

  final LogClock clock = new LogClock();
  final Map<String, StoredFile> files = new LinkedHashMap<>();
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final LeaseTable leases = new LeaseTable();
  final ClaimTable claims = new ClaimTable();
  final IdempotencyKeyTable idempotencyKeys = new IdempotencyKeyTable();
  final JobQueues queues = new JobQueues();
  private final JobsQueries queries = new JobsQueries(this);
  long nextSweepMs;

  @Override
  public long logTimeMs() {
    return clock.nowMs();
  }

  @Override
  public boolean needsTimeAdvance() {
    return !leases.leases().isEmpty();
  }

  @Override
  public CommandResult apply(CommandEnvelope envelope) {
    long nowMs = clock.advance(envelope.proposedAtMs());
    expireLeases(nowMs);
    sweep(nowMs);
    return execute(envelope.command(), nowMs);
  }

  private CommandResult execute(Command command, long nowMs) {
    if (command instanceof LeaseItems lease) {
      return leaseItems(lease, nowMs);
    }
    if (command instanceof CommitResults commit) {
      return commitResults(commit, nowMs);
    }
    if (command instanceof RenewLeases renew) {
      return renewLeases(renew, nowMs);
    }
    if (command instanceof ReleaseItems release) {
      return releaseItems(release);
    }
    if (command instanceof SubmitJob submit) {
      return submitJob(submit.spec(), nowMs);
    }
    if (command instanceof CancelJob cancel) {
      return cancelJob(cancel, nowMs);
    }
    return executeFileOrClaim(command, nowMs);
  }

  private CommandResult executeFileOrClaim(Command command, long nowMs) {
    if (command instanceof CreateFile create) {
      return createFile(create, nowMs);
    }
    if (command instanceof AppendFileChunk append) {
      return appendFileChunk(append);
    }
    if (command instanceof SealFile seal) {
      return sealFile(seal);
    }
    if (command instanceof ReserveKey reserve) {
      return idempotencyKeys.reserve(reserve, nowMs);
    }
    if (command instanceof ClaimRequest claim) {
      return claims.claim(claim, nowMs);
    }
    if (command instanceof CompleteClaim complete) {
      return claims.complete(complete, nowMs);
    }
    if (command instanceof ReleaseClaim release) {
      return claims.release(release);
    }
    if (command instanceof AdvanceTime) {
      return new Done();
    }
    return new Rejected(RejectionCode.INVALID, "not a command of a jobs partition");
  }

  // ---- files

  private CommandResult createFile(CreateFile create, long nowMs) {
    StoredFile file =
        files.computeIfAbsent(
            create.fileId(),
            id -> new StoredFile(id, create.tenant(), create.filename(), create.purpose(), nowMs));
    return new FileStored(file.view());
  }

  private CommandResult appendFileChunk(AppendFileChunk append) {
    StoredFile file = files.get(append.fileId());
    if (file == null) {
      return new Rejected(RejectionCode.NOT_FOUND, "no file " + append.fileId());
    }
    if (file.isSealed() || file.append(append.chunkIndex(), append.lines())) {
      return new Done();
    }
    return new Rejected(RejectionCode.INVALID, "chunk out of order");
  }

  private CommandResult sealFile(SealFile seal) {
    StoredFile file = files.get(seal.fileId());
    if (file == null) {
      return new Rejected(RejectionCode.NOT_FOUND, "no file " + seal.fileId());
    }
    if (!file.seal(seal.chunks())) {
      return new Rejected(RejectionCode.INVALID, "chunks are missing");
    }
    return new FileStored(file.view());
  }

  // ---- jobs

  private CommandResult submitJob(JobSpec spec, long nowMs) {
    Job existing = jobs.get(spec.jobId());
    if (existing != null) {
      return new JobAccepted(existing.view());
    }
    StoredFile file = files.get(spec.fileId());
    if (file == null || !file.isSealed() || !file.belongsTo(spec.tenant())) {
      return new Rejected(RejectionCode.NOT_FOUND, "no file " + spec.fileId());
    }
    if (file.lineCount() == 0) {
      return new Rejected(RejectionCode.INVALID, "the file has no items");
    }
    Job job = new Job(spec, file, nowMs);
    jobs.put(spec.jobId(), job);
    queues.add(job);
    return new JobAccepted(job.view());
  }

  private CommandResult cancelJob(CancelJob cancel, long nowMs) {
    Job job = jobs.get(cancel.jobId());
    boolean visible =
        job != null && (cancel.tenant().isEmpty() || cancel.tenant().equals(job.spec().tenant()));
    if (!visible) {
      return new Rejected(RejectionCode.NOT_FOUND, "no job " + cancel.jobId());
    }
    endJob(job, JobStatus.CANCELLED, nowMs);
    return new JobAccepted(job.view());
  }

  private void endJob(Job job, JobStatus status, long nowMs) {
    job.end(status, nowMs);
    int removedItems = leases.removeJob(job.spec().jobId());
    for (int i = 0; i < removedItems; i++) {
      job.endLease();
    }
  }

  // ---- items

  private CommandResult leaseItems(LeaseItems command, long nowMs) {
    List<JobQueues.TakenItem> taken =
        queues.take(command.service(), command.tenant(), command.maxItems());
    if (taken.isEmpty()) {
      return new ItemsLeased(0, new ArrayList<>());
    }
    List<ItemRef> refs = new ArrayList<>();
    List<LeasedItem> items = new ArrayList<>();
    for (JobQueues.TakenItem item : taken) {
      JobSpec spec = item.job().spec();
      refs.add(new ItemRef(spec.jobId(), item.index()));
      items.add(
          new LeasedItem(
              spec.jobId(),
              item.index(),
              spec.tenant(),
              spec.endpoint(),
              item.job().itemLine(item.index()),
              spec.repeatable()));
    }
    LeaseTable.Lease lease = leases.grant(command.dispatcherId(), refs, nowMs + command.leaseMs());
    return new ItemsLeased(lease.leaseId, items);
  }

  private CommandResult renewLeases(RenewLeases command, long nowMs) {
    List<Long> lostLeaseIds = new ArrayList<>();
    for (long leaseId : command.leaseIds()) {
      long expiresAtMs = nowMs + command.leaseMs();
      if (leases.renew(leaseId, command.dispatcherId(), expiresAtMs) == null) {
        lostLeaseIds.add(leaseId);
      }
    }
    List<String> endedJobIds = new ArrayList<>();
    for (Job job : jobs.values()) {
      boolean endedRecently =
          job.status() != JobStatus.COMPLETED
              && job.status().isTerminal()
              && nowMs - job.endedAtMs() < command.leaseMs();
      if (endedRecently) {
        endedJobIds.add(job.spec().jobId());
      }
    }
    return new LeasesRenewed(lostLeaseIds, endedJobIds);
  }

  private CommandResult commitResults(CommitResults command, long nowMs) {
    int stored = 0;
    for (ItemResult result : command.results()) {
      Job job = jobs.get(result.jobId());
      if (job == null) {
        continue;
      }
      if (leases.remove(result.leaseId(), new ItemRef(result.jobId(), result.index()))) {
        job.endLease();
      }
      if (job.storeResult(result.index(), result.line(), result.success(), nowMs)) {
        stored++;
      }
    }
    return new ResultsCommitted(stored, command.results().size() - stored);
  }

  private CommandResult releaseItems(ReleaseItems command) {
    for (ItemRef item : command.items()) {
      Job job = jobs.get(item.jobId());
      if (job != null && leases.remove(command.leaseId(), item)) {
        job.requeueItem(item.index());
      }
    }
    return new Done();
  }

  private void expireLeases(long nowMs) {
    for (LeaseTable.Lease lease : leases.expire(nowMs)) {
      for (ItemRef item : lease.items) {
        Job job = jobs.get(item.jobId());
        if (job == null) {
          continue;
        }
        if (job.spec().repeatable()) {
          job.requeueItem(item.index());
        } else {
          job.endLease();
          job.storeResult(
              item.index(), OutcomeUnknownResult.resultLine(job, item.index()), false, nowMs);
        }
      }
    }
  }

  /** Expires jobs past their completion window and removes jobs and files past their retention. */
  private void sweep(long nowMs) {
    if (nowMs < nextSweepMs) {
      return;
    }
    nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
    for (Job job : jobs.values()) {
      if (!job.status().isTerminal() && nowMs >= job.deadlineMs()) {
        endJob(job, JobStatus.EXPIRED, nowMs);
      }
    }
    jobs.values()
        .removeIf(job -> job.status().isTerminal() && nowMs - job.endedAtMs() >= RETENTION_MS);
    files
        .values()
        .removeIf(file -> nowMs - file.view().createdAtMs() >= RETENTION_MS && !isUsed(file));
  }

  private boolean isUsed(StoredFile file) {
    return jobs.values().stream().anyMatch(job -> job.spec().fileId().equals(file.fileId()));
  }

  @Override
  public QueryResult query(Query query) {
    return queries.answer(query);
  }

  @Override
  public Iterator<Object> captureSnapshot() {
    return JobsSnapshot.capture(this);
  }

  @Override
  public void restoreSnapshot(Iterator<Object> records) {
    JobsSnapshot.restore(this, records);
  }
}
