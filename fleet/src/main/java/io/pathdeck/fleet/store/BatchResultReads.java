package io.pathdeck.fleet.store;

import io.pathdeck.control.GroupRuntime;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.BatchJob;
import io.pathdeck.state.BatchStateMachine;
import java.util.ArrayList;
import java.util.List;

/** Reads of results that wait for the first one; runs on the thread of the consensus duty. */
final class BatchResultReads {
  private static final int MAX_PENDING = 4_096;

  private record PendingRead(ReadBatchResults read, long deadlineMs, ReplySink reply) {}

  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final List<PendingRead> pending = new ArrayList<>();

  BatchResultReads(GroupRuntime group, BatchStateMachine state) {
    this.group = group;
    this.state = state;
  }

  /** Answers a read now, or when there is a result or its time is over. */
  void read(ReadBatchResults read, ReplySink reply, long nowMs) {
    group.readLinearizably(() -> answerOrWait(read, reply, nowMs), reply, nowMs);
  }

  private void answerOrWait(ReadBatchResults read, ReplySink reply, long nowMs) {
    QueryResult result = state.query(read);
    boolean waits =
        read.waitMs() > 0
            && result instanceof BatchResults results
            && results.results().isEmpty()
            && results.next() < results.total()
            && pending.size() < MAX_PENDING;
    if (waits) {
      pending.add(new PendingRead(read, nowMs + read.waitMs(), reply));
    } else {
      reply.reply(new QueryReply(result));
    }
  }

  /** Answers the reads that waited long enough or for which there is a result. */
  void onStep(long nowMs) {
    if (pending.isEmpty()) {
      return;
    }
    List<PendingRead> due = pending.stream().filter(read -> isDue(read, nowMs)).toList();
    pending.removeAll(due);
    for (PendingRead read : due) {
      ReadBatchResults asked = read.read();
      read(
          new ReadBatchResults(asked.jobId(), asked.tenant(), asked.from(), asked.maxBytes(), 0),
          read.reply(),
          nowMs);
    }
  }

  private boolean isDue(PendingRead read, long nowMs) {
    boolean hasResult =
        state
            .job(read.read().jobId())
            .map(BatchJob::results)
            .map(results -> results.size() > read.read().from())
            .orElse(true);
    return hasResult || nowMs >= read.deadlineMs() || !group.isLeading();
  }
}
