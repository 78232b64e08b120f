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

/** Long-polling reads of batch results; confined to the consensus thread. */
final class BatchResultReads {
  private static final int MAX_PENDING_READS = 4_096;

  private record PendingRead(ReadBatchResults read, long deadlineMs, ReplySink reply) {}

  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final List<PendingRead> pendingReads = new ArrayList<>();

  BatchResultReads(GroupRuntime group, BatchStateMachine state) {
    this.group = group;
    this.state = state;
  }

  /** Replies at once, or as soon as a result exists or the read times out. */
  void read(ReadBatchResults read, ReplySink reply, long nowMs) {
    group.readLinearizably(() -> replyOrWait(read, reply, nowMs), reply, nowMs);
  }

  private void replyOrWait(ReadBatchResults read, ReplySink reply, long nowMs) {
    QueryResult result = state.query(read);
    boolean mustWait =
        read.waitMs() > 0
            && result instanceof BatchResults results
            && results.results().isEmpty()
            && results.next() < results.total()
            && pendingReads.size() < MAX_PENDING_READS;
    if (mustWait) {
      pendingReads.add(new PendingRead(read, nowMs + read.waitMs(), reply));
    } else {
      reply.reply(new QueryReply(result));
    }
  }

  /**
   * Replies to pending reads that have a result or timed out; to all if this store does not lead.
   */
  void onStep(long nowMs) {
    if (pendingReads.isEmpty()) {
      return;
    }
    List<PendingRead> dueReads = pendingReads.stream().filter(read -> isDue(read, nowMs)).toList();
    pendingReads.removeAll(dueReads);
    for (PendingRead pendingRead : dueReads) {
      ReadBatchResults request = pendingRead.read();
      read(
          new ReadBatchResults(
              request.jobId(), request.tenant(), request.from(), request.maxBytes(), 0),
          pendingRead.reply(),
          nowMs);
    }
  }

  private boolean isDue(PendingRead pendingRead, long nowMs) {
    boolean hasResult =
        state
            .job(pendingRead.read().jobId())
            .map(BatchJob::results)
            .map(results -> results.size() > pendingRead.read().from())
            .orElse(true);
    return hasResult || nowMs >= pendingRead.deadlineMs() || !group.isLeading();
  }
}
