package io.pathdeck.fleet.store;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.BatchStateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Appends each batch job to the log of its group once; confined to the consensus thread.
 *
 * <p>Callers and gateways send a job again when the reply is late. A job that is already in the log
 * is not appended again, because that would add replication load just when the group is slow.
 */
final class JobSubmissions {
  private static final EventLog EVENTS = EventLog.of(JobSubmissions.class);

  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final ControllerClock clock;

  /** Callers to reply to, by id of a job that is in the log but not applied yet. */
  private final Map<String, List<ReplySink>> pendingReplies = new HashMap<>();

  JobSubmissions(GroupRuntime group, BatchStateMachine state, ControllerClock clock) {
    this.group = group;
    this.state = state;
    this.clock = clock;
  }

  void submit(SubmitBatch submission, ReplySink reply) {
    String jobId = submission.jobId();
    List<ReplySink> replies = pendingReplies.get(jobId);
    if (replies != null) {
      replies.add(reply);
    } else if (state.job(jobId).isPresent()) {
      ProposeReply acceptedReply = new ProposeReply(new BatchAccepted(jobId));
      group.readLinearizably(() -> reply.reply(acceptedReply), reply, clock.monotonicMs());
    } else {
      propose(submission, reply);
    }
  }

  private void propose(SubmitBatch submission, ReplySink reply) {
    List<ReplySink> replies = new ArrayList<>(List.of(reply));
    pendingReplies.put(submission.jobId(), replies);
    group.propose("", 0, submission, result -> completeReplies(submission.jobId(), result), clock);
  }

  private void completeReplies(String jobId, Message result) {
    if (result instanceof ProposeReply reply && reply.result() instanceof BatchAccepted) {
      logAccepted(jobId);
    }
    pendingReplies.remove(jobId).forEach(reply -> reply.reply(result));
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
