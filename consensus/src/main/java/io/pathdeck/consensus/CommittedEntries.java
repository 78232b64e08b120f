package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import java.util.ArrayList;
import java.util.List;

/** Hands committed entries on to be applied, each once and in order. */
final class CommittedEntries {
  private final ReplicaState state;
  private long lastTakenIndex;

  /** Begins after what was committed when the replica was restored. */
  CommittedEntries(ReplicaState state) {
    this.state = state;
    this.lastTakenIndex = state.commitIndex;
  }

  /** The state was replaced by a snapshot that covers entries up to {@code index}. */
  void onSnapshotInstalled(long index) {
    lastTakenIndex = index;
  }

  /** Forgets the entries that a snapshot covers, as far as they were handed on. */
  void compact(long snapshotIndex) {
    state.log.compact(Math.min(snapshotIndex, lastTakenIndex));
  }

  /** The entries that were committed since the last call. */
  List<LogEntry> take() {
    List<LogEntry> committed = new ArrayList<>();
    long deliverable = Math.min(state.commitIndex, state.log.lastIndex());
    while (lastTakenIndex < deliverable) {
      lastTakenIndex++;
      committed.add(state.log.entry(lastTakenIndex));
    }
    return committed;
  }
}
