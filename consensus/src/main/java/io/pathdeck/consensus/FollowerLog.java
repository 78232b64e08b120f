package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.AppendResponse;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.SnapshotChunk;
import io.pathdeck.protocol.raft.SnapshotChunkResponse;
import java.util.List;

/**
 * The follower's side of replication: accepts entries and snapshots from the leader of the term and
 * acknowledges the entries that match the leader's log and are synced on this replica.
 */
final class FollowerLog {
  private final ReplicaState state;
  private int leaderId = RecoveredState.NO_REPLICA;
  private long leaderIncarnation;

  /** The latest send time of a message from the current leader, on the leader's clock. */
  private long lastAppendSentAtMs;

  /** The index up to which the log is known to match the current leader's. */
  private long verifiedIndex;

  private boolean installing;
  private SnapshotReceiver receiver;
  private SnapshotInstall pendingInstall;

  FollowerLog(ReplicaState state) {
    this.state = state;
  }

  int leaderId() {
    return leaderId;
  }

  void setLeader(int id) {
    leaderId = id;
  }

  void setLeaderIncarnation(long incarnation) {
    leaderIncarnation = incarnation;
  }

  /** Discards the state that belongs to the leader of the previous term. */
  void onNewTerm() {
    verifiedIndex = 0;
    leaderIncarnation = 0;
    lastAppendSentAtMs = 0;
  }

  /** Whether a completely received snapshot is being installed. */
  boolean isInstalling() {
    return installing;
  }

  /** Returns the snapshot to install and clears it; null when there is none. */
  SnapshotInstall takeInstall() {
    SnapshotInstall taken = pendingInstall;
    pendingInstall = null;
    return taken;
  }

  /** Acknowledges newly synced entries if the leader is known. */
  void onSynced() {
    if (leaderId >= 0 && leaderIncarnation != 0) {
      acknowledge(lastAppendSentAtMs);
    }
  }

  /**
   * Resets the log to start after an installed snapshot; returns false when the snapshot is
   * outdated.
   */
  boolean onSnapshotInstalled(SnapshotMetadata metadata) {
    installing = false;
    receiver = null;
    if (metadata.index() <= state.commitIndex) {
      return false;
    }
    state.log.reset(metadata.index(), metadata.term(), metadata.configuration());
    state.commitIndex = metadata.index();
    state.syncedIndex = metadata.index();
    verifiedIndex = metadata.index();
    return true;
  }

  void acknowledgeSnapshot() {
    if (leaderId >= 0) {
      acknowledge(lastAppendSentAtMs);
    }
  }

  void onAppendRequest(AppendRequest request) {
    RaftHeader header = request.header();
    if (installing) {
      return;
    }
    lastAppendSentAtMs = Math.max(lastAppendSentAtMs, request.sentAtMs());
    if (!state.log.hasConfiguration()) {
      respondToAppend(header, false, 0, request.sentAtMs());
      return;
    }
    if (!matchesPrevious(request)) {
      long hint =
          Math.min(state.log.lastIndex(), Math.max(state.commitIndex, state.log.snapshotIndex()));
      respondToAppend(header, false, hint, request.sentAtMs());
      return;
    }
    boolean appended = appendFromLeader(request.entries());
    long lastInRequest = request.previousIndex() + request.entries().size();
    verifiedIndex = Math.max(verifiedIndex, lastInRequest);
    state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex(), verifiedIndex));
    if (!appended) {
      acknowledge(request.sentAtMs());
    }
  }

  private boolean matchesPrevious(AppendRequest request) {
    long previousIndex = request.previousIndex();
    if (previousIndex <= state.commitIndex) {
      return true;
    }
    return previousIndex <= state.log.lastIndex()
        && state.log.term(previousIndex) == request.previousTerm();
  }

  private boolean appendFromLeader(List<LogEntry> entries) {
    boolean appended = false;
    for (LogEntry entry : entries) {
      boolean present =
          entry.index() <= state.commitIndex
              || (entry.index() <= state.log.lastIndex()
                  && state.log.term(entry.index()) == entry.term());
      if (present) {
        continue;
      }
      if (entry.index() <= state.log.lastIndex()) {
        state.log.truncateFrom(entry.index());
        state.syncedIndex = Math.min(state.syncedIndex, entry.index() - 1);
        verifiedIndex = Math.min(verifiedIndex, entry.index() - 1);
      }
      state.log.append(entry);
      state.records.add(new EntryRecord(state.group, entry));
      appended = true;
    }
    return appended;
  }

  /** Acknowledges the entries that match the leader's log and are synced. */
  private void acknowledge(long sentAtMs) {
    long match = Math.min(state.syncedIndex, verifiedIndex);
    RaftHeader header = state.header(leaderId, leaderIncarnation);
    state.messages.add(new AppendResponse(header, true, match, sentAtMs));
  }

  void respondToAppend(RaftHeader to, boolean success, long index, long sentAtMs) {
    RaftHeader header = state.header(to.from(), to.fromIncarnation());
    state.messages.add(new AppendResponse(header, success, index, sentAtMs));
  }

  /**
   * Whether the log contains what the snapshot covers. Then it is kept: installing the snapshot
   * would drop the entries behind it, which this replica may have acknowledged.
   */
  private boolean holdsLastEntryOf(SnapshotChunk chunk) {
    return state.log.hasConfiguration()
        && state.log.term(chunk.snapshotIndex()) == chunk.snapshotTerm();
  }

  void onSnapshotChunk(SnapshotChunk chunk) {
    RaftHeader header = chunk.header();
    if (installing) {
      return;
    }
    lastAppendSentAtMs = Math.max(lastAppendSentAtMs, chunk.sentAtMs());
    if (holdsLastEntryOf(chunk)) {
      state.commitIndex = Math.max(state.commitIndex, chunk.snapshotIndex());
    }
    if (chunk.snapshotIndex() <= state.commitIndex) {
      verifiedIndex = Math.max(verifiedIndex, Math.min(state.commitIndex, state.log.lastIndex()));
      acknowledge(chunk.sentAtMs());
      return;
    }
    if (receiver == null || !receiver.isFor(chunk)) {
      receiver = new SnapshotReceiver(chunk);
    }
    long nextOffset = receiver.accept(chunk);
    RaftHeader responseHeader = state.header(header.from(), header.fromIncarnation());
    state.messages.add(
        new SnapshotChunkResponse(
            responseHeader, chunk.snapshotIndex(), nextOffset, chunk.sentAtMs()));
    if (receiver.isComplete()) {
      installing = true;
      pendingInstall = receiver.toInstall();
      receiver = null;
    }
  }
}
