package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import java.util.ArrayList;
import java.util.List;

/** Hands out committed entries to be applied, each once and in order. */
final class CommittedEntries {
  private final ReplicaState state;
  private long lastTakenIndex;

  /** Starts after the entries that were committed when the replica was restored. */
  CommittedEntries(ReplicaState state) {
    this.state = state;
    this.lastTakenIndex = state.commitIndex;
  }

  /** Skips the entries up to {@code index}, which an installed snapshot covers. */
  void onSnapshotInstalled(long index) {
    lastTakenIndex = index;
  }

  /** Discards the entries that a snapshot covers and {@link #take} has returned. */
  void compact(long snapshotIndex) {
    state.log.compact(Math.min(snapshotIndex, lastTakenIndex));
  }

  /** Returns the entries that were committed since the last call. */
  List<LogEntry> take() {
    List<LogEntry> committed = new ArrayList<>();
    long available = Math.min(state.commitIndex, state.log.lastIndex());
    while (lastTakenIndex < available) {
      lastTakenIndex++;
      committed.add(state.log.entry(lastTakenIndex));
    }
    return committed;
  }
}
