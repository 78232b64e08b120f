package io.pathdeck.fleet.store;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.BatchStateMachine;
import io.pathdeck.state.HeapSizes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Appends each batch job to the log of its group once; confined to the consensus thread.
 *
 * <p>Callers and gateways send a job again when the reply is late. A job that is already in the log
 * is not appended again, because that would add replication load just when the group is slow.
 *
 * <p>A new job is refused while the jobs of the group take too much heap. None of them can make
 * room before its time, since callers may read their results again.
 */
final class JobSubmissions {
  private static final EventLog EVENTS = EventLog.of(JobSubmissions.class);
  private static final Rejected STORE_FULL =
      new Rejected(RejectionCode.TOO_LARGE, "the stores have no memory left for the job");

  /** A job as its caller knows it; the state rejects the id of another tenant's job. */
  private record JobKey(String jobId, String tenant) {
    static JobKey of(SubmitBatch submission) {
      return new JobKey(submission.jobId(), submission.tenant());
    }
  }

  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final ControllerClock clock;
  private final long maxHeapBytes;

  /** Callers to reply to, by job that is in the log but not applied yet. */
  private final Map<JobKey, List<ReplySink>> pendingReplies = new HashMap<>();

  /** The heap that the jobs in {@link #pendingReplies} are going to take, in bytes. */
  private long pendingHeapBytes;

  /**
   * Creates the submissions of a group.
   *
   * @param maxHeapBytes the most heap that the jobs of the group may take when a new one comes
   */
  JobSubmissions(
      GroupRuntime group, BatchStateMachine state, ControllerClock clock, long maxHeapBytes) {
    this.group = group;
    this.state = state;
    this.clock = clock;
    this.maxHeapBytes = maxHeapBytes;
  }

  void submit(SubmitBatch submission, ReplySink reply) {
    List<ReplySink> replies = pendingReplies.get(JobKey.of(submission));
    if (replies != null) {
      replies.add(reply);
    } else if (isHeld(submission)) {
      ProposeReply acceptedReply = new ProposeReply(new BatchAccepted(submission.jobId()));
      group.readLinearizably(() -> reply.reply(acceptedReply), reply, clock.monotonicMs());
    } else if (hasRoomFor(submission)) {
      propose(submission, reply);
    } else {
      // An earlier leader may have appended the job, which then is accepted and not refused.
      group.readLinearizably(() -> refuseUnlessHeld(submission, reply), reply, clock.monotonicMs());
    }
  }

  private boolean hasRoomFor(SubmitBatch submission) {
    return state.heapBytes() + pendingHeapBytes + heapBytes(submission) <= maxHeapBytes;
  }

  private static long heapBytes(SubmitBatch submission) {
    return submission.items().stream().mapToLong(HeapSizes::ofOpenItem).sum();
  }

  private void refuseUnlessHeld(SubmitBatch submission, ReplySink reply) {
    if (isHeld(submission) || pendingReplies.containsKey(JobKey.of(submission))) {
      submit(submission, reply);
      return;
    }
    EVENTS.log(
        EventCode.JOB_REFUSED,
        "job",
        submission.jobId(),
        "group",
        group.group(),
        "heap_bytes",
        state.heapBytes() + pendingHeapBytes,
        "max_heap_bytes",
        maxHeapBytes);
    reply.reply(new ProposeReply(STORE_FULL));
  }

  private boolean isHeld(SubmitBatch submission) {
    return state
        .job(submission.jobId())
        .filter(job -> JobKey.of(job.submission()).equals(JobKey.of(submission)))
        .isPresent();
  }

  private void propose(SubmitBatch submission, ReplySink reply) {
    JobKey key = JobKey.of(submission);
    long bytes = heapBytes(submission);
    pendingReplies.put(key, new ArrayList<>(List.of(reply)));
    pendingHeapBytes += bytes;
    group.propose("", 0, submission, result -> completeReplies(key, bytes, result), clock);
  }

  private void completeReplies(JobKey key, long bytes, Message result) {
    pendingHeapBytes -= bytes;
    if (result instanceof ProposeReply reply && reply.result() instanceof BatchAccepted) {
      logAccepted(key.jobId());
    }
    pendingReplies.remove(key).forEach(reply -> reply.reply(result));
  }

  private void logAccepted(String jobId) {
    RaftReplica replica = group.replica();
    long index = group.appliedIndex();
    List<Integer> syncedBy =
        replica.configuration().stream()
            .flatMap(configuration -> configuration.members().stream())
            .map(Member::id)
            .filter(member -> replica.matchIndex(member) >= index)
            .toList();
    EVENTS.log(
        EventCode.JOB_ACCEPTED,
        "job",
        jobId,
        "group",
        group.group(),
        "index",
        index,
        "term",
        replica.term(),
        "synced_by",
        syncedBy);
  }
}
