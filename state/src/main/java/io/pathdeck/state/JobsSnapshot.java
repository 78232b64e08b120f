package io.pathdeck.state;

import io.pathdeck.protocol.model.ItemRef;
import io.pathdeck.protocol.snapshot.ClaimRecord;
import io.pathdeck.protocol.snapshot.FileChunkRecord;
import io.pathdeck.protocol.snapshot.FileRecord;
import io.pathdeck.protocol.snapshot.JobRecord;
import io.pathdeck.protocol.snapshot.JobsHeaderRecord;
import io.pathdeck.protocol.snapshot.KeyRecord;
import io.pathdeck.protocol.snapshot.LeaseRecord;
import io.pathdeck.protocol.snapshot.QueueRecord;
import io.pathdeck.protocol.snapshot.ResultRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Captures and restores the state of a jobs partition.
 *
 * <p>Lines and results never change once stored, so a capture only copies references.
 */
final class JobsSnapshot {
  private static final int RESULTS_PER_RECORD = 256;

  private JobsSnapshot() {}

  static Iterator<Object> capture(JobsStateMachine state) {
    List<Object> records = new ArrayList<>();
    records.add(
        new JobsHeaderRecord(state.clock.nowMs(), state.leases.nextLeaseId(), state.nextSweepMs));
    for (StoredFile file : state.files.values()) {
      captureFile(file, records);
    }
    for (Job job : state.jobs.values()) {
      captureJob(job, records);
    }
    for (LeaseTable.Lease lease : state.leases.leases()) {
      records.add(
          new LeaseRecord(
              lease.leaseId, lease.dispatcherId, lease.expiresAtMs, new ArrayList<>(lease.items)));
    }
    records.addAll(state.queues.records());
    records.addAll(state.idempotencyKeys.records());
    records.addAll(state.claims.records());
    return records.iterator();
  }

  private static void captureFile(StoredFile file, List<Object> records) {
    records.add(new FileRecord(file.view(), file.chunks().size()));
    for (int i = 0; i < file.chunks().size(); i++) {
      records.add(new FileChunkRecord(file.fileId(), i, file.chunks().get(i)));
    }
  }

  private static void captureJob(Job job, List<Object> records) {
    records.add(new JobRecord(job.view()));
    for (int first = 0; first < job.size(); first += RESULTS_PER_RECORD) {
      List<byte[]> lines = new ArrayList<>();
      List<Boolean> successes = new ArrayList<>();
      int end = Math.min(job.size(), first + RESULTS_PER_RECORD);
      boolean hasResult = false;
      for (int index = first; index < end; index++) {
        lines.add(job.result(index));
        successes.add(!job.isFailure(index));
        hasResult |= job.result(index) != null;
      }
      if (hasResult) {
        records.add(new ResultRecord(job.spec().jobId(), first, lines, successes));
      }
    }
  }

  static void restore(JobsStateMachine state, Iterator<Object> records) {
    state.files.clear();
    state.jobs.clear();
    state.queues.clear();
    state.idempotencyKeys.clear();
    state.claims.clear();
    while (records.hasNext()) {
      restoreRecord(state, records.next());
    }
  }

  private static void restoreRecord(JobsStateMachine state, Object next) {
    if (next instanceof JobsHeaderRecord header) {
      state.clock.restore(header.clockMs());
      state.leases.reset(header.nextLeaseId());
      state.nextSweepMs = header.nextSweepMs();
    } else if (next instanceof FileRecord file) {
      state.files.put(file.view().fileId(), StoredFile.restore(file.view()));
    } else if (next instanceof FileChunkRecord chunk) {
      state.files.get(chunk.fileId()).append(chunk.chunkIndex(), chunk.lines());
    } else if (next instanceof JobRecord job) {
      StoredFile file = state.files.get(job.view().spec().fileId());
      state.jobs.put(job.view().spec().jobId(), Job.restore(job.view(), file));
    } else if (next instanceof ResultRecord results) {
      restoreResults(state.jobs.get(results.jobId()), results);
    } else if (next instanceof LeaseRecord lease) {
      restoreLease(state, lease);
    } else if (next instanceof QueueRecord queue) {
      state.queues.restore(queue, state.jobs);
    } else if (next instanceof KeyRecord key) {
      state.idempotencyKeys.restore(key);
    } else if (next instanceof ClaimRecord claim) {
      state.claims.restore(claim);
    }
  }

  private static void restoreResults(Job job, ResultRecord results) {
    for (int i = 0; i < results.lines().size(); i++) {
      if (results.lines().get(i) != null) {
        job.setResult(results.firstIndex() + i, results.lines().get(i), results.successes().get(i));
      }
    }
  }

  private static void restoreLease(JobsStateMachine state, LeaseRecord record) {
    state.leases.restore(
        new LeaseTable.Lease(
            record.leaseId(), record.dispatcherId(), record.items(), record.expiresAtMs()));
    for (ItemRef item : record.items()) {
      Job job = state.jobs.get(item.jobId());
      if (job != null) {
        job.restoreLeased(item.index());
      }
    }
  }
}
