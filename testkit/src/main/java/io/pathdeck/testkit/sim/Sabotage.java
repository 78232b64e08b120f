package io.pathdeck.testkit.sim;

import io.pathdeck.protocol.command.ApplyDelta;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.JobAccepted;
import io.pathdeck.protocol.command.SubmitJob;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.query.JobResult;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadJob;
import io.pathdeck.protocol.snapshot.ClaimRecord;
import io.pathdeck.protocol.snapshot.DedupRecord;
import io.pathdeck.protocol.snapshot.ResultRecord;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.MetaStateMachine;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** Plants a {@link Defect} into the controllers of the simulated fleet. */
final class Sabotage {
  private final Defect defect;
  private long uniqueRequestId = 1L << 50;

  Sabotage(Defect defect) {
    this.defect = defect;
  }

  /** The request that is really handled; empty when it was answered already. */
  Optional<ProposeRequest> onPropose(
      SimController controller, ProposeRequest request, ReplySink reply) {
    if (!controller.leads(request.group())) {
      return Optional.of(request);
    }
    if (defect == Defect.VERSION_CHECK_IGNORED && request.command() instanceof ApplyDelta apply) {
      MetaStateMachine meta =
          (MetaStateMachine) controller.groups().get(request.group()).stateMachine();
      ApplyDelta unchecked = new ApplyDelta(meta.declarationStore().version(), apply.delta());
      return Optional.of(
          new ProposeRequest(request.group(), request.clientId(), request.requestId(), unchecked));
    }
    if (defect == Defect.RESENT_COMMAND_RUNS_AGAIN) {
      return Optional.of(
          new ProposeRequest(
              request.group(), request.clientId(), uniqueRequestId++, request.command()));
    }
    if (defect == Defect.CANCEL_NOT_STORED && request.command() instanceof CancelJob cancel) {
      QueryResult job =
          controller
              .groups()
              .get(request.group())
              .stateMachine()
              .query(new ReadJob(cancel.jobId(), cancel.tenant()));
      if (job instanceof JobResult found) {
        reply.reply(new ProposeReply(new JobAccepted(found.job())));
        return Optional.empty();
      }
    }
    if (defect == Defect.ACKNOWLEDGE_BEFORE_COMMIT
        && request.command() instanceof SubmitJob submit) {
      JobView view = new JobView(submit.spec(), JobStatus.IN_PROGRESS, 0, 0, 0, 0, 0, 0);
      reply.reply(new ProposeReply(new JobAccepted(view)));
    }
    return Optional.of(request);
  }

  /** The sink through which the answer of a command goes. */
  ReplySink onReply(ReplySink reply) {
    if (defect != Defect.NOT_RUN_SAID_WRONGLY) {
      return reply;
    }
    return message ->
        reply.reply(
            message instanceof Unavailable unavailable
                ? new Unavailable(unavailable.reason(), false)
                : message);
  }

  /** The records that a snapshot really holds. */
  Iterator<Object> snapshot(Iterator<Object> records) {
    List<Object> kept = new ArrayList<>();
    while (records.hasNext()) {
      Object next = records.next();
      boolean lost =
          (defect == Defect.SNAPSHOT_WITHOUT_ANSWERS && next instanceof DedupRecord)
              || (defect == Defect.SNAPSHOT_WITHOUT_RESULTS && next instanceof ResultRecord)
              || (defect == Defect.SNAPSHOT_WITHOUT_CLAIMS && next instanceof ClaimRecord);
      if (!lost) {
        kept.add(next);
      }
    }
    return kept.iterator();
  }
}
