package io.pathdeck.fleet.store;

import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.BatchStateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes batch jobs into the log of their group, each once; on the thread of the consensus duty.
 *
 * <p>Callers and gateways send a job again when its answer is late. A job that is already in the
 * log is not appended again: it would be replicated once more just when the group is slow.
 */
final class JobSubmissions {
  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final ControllerClock clock;

  /** Who waits for the outcome of each job that is in the log but not applied yet. */
  private final Map<String, List<ReplySink>> pendingReplies = new HashMap<>();

  JobSubmissions(GroupRuntime group, BatchStateMachine state, ControllerClock clock) {
    this.group = group;
    this.state = state;
    this.clock = clock;
  }

  void submit(SubmitBatch submission, ReplySink reply) {
    String jobId = submission.jobId();
    List<ReplySink> waiting = pendingReplies.get(jobId);
    if (waiting != null) {
      waiting.add(reply);
    } else if (state.job(jobId).isPresent()) {
      ProposeReply accepted = new ProposeReply(new BatchAccepted(jobId));
      group.readLinearizably(() -> reply.reply(accepted), reply, clock.monotonicMs());
    } else {
      propose(submission, reply);
    }
  }

  private void propose(SubmitBatch submission, ReplySink reply) {
    List<ReplySink> waiting = new ArrayList<>(List.of(reply));
    pendingReplies.put(submission.jobId(), waiting);
    group.propose("", 0, submission, answer -> completeReplies(submission.jobId(), answer), clock);
  }

  private void completeReplies(String jobId, Message answer) {
    pendingReplies.remove(jobId).forEach(reply -> reply.reply(answer));
  }
}
