package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state shared by the components of one replica: its identity, log, term and pending outputs.
 */
final class ReplicaState {
  final int group;
  final int id;
  final long incarnation;
  final RaftSettings settings;
  final RaftLog log = new RaftLog();
  long term;
  long commitIndex;
  ReplicationStatistics statistics = ReplicationStatistics.NONE;
  long syncedIndex;

  List<RaftMessage> messages = new ArrayList<>();
  List<LogRecord> records = new ArrayList<>();
  List<RaftMessage> messagesAfterSync = new ArrayList<>();
  List<SnapshotRequest> snapshotRequests = new ArrayList<>();

  ReplicaState(int group, int id, long incarnation, RaftSettings settings) {
    this.group = group;
    this.id = id;
    this.incarnation = incarnation;
    this.settings = settings;
  }

  /** Rebuilds the log from the recovered state; entries covered by the snapshot are committed. */
  void restoreLog(RecoveredState recovered) {
    if (recovered.snapshot().isPresent()) {
      SnapshotMetadata snapshot = recovered.snapshot().get();
      log.reset(snapshot.index(), snapshot.term(), snapshot.configuration());
    } else if (recovered.bootstrap().isPresent()) {
      log.reset(0, 0, recovered.bootstrap().get());
    } else {
      return;
    }
    commitIndex = log.snapshotIndex();
    for (LogEntry entry : recovered.entries()) {
      log.append(entry);
    }
  }

  /** Whether the newest configuration contains this incarnation of the replica. */
  boolean isMember() {
    return log.configuration().find(id).filter(m -> m.incarnation() == incarnation).isPresent();
  }

  /** Whether this incarnation of the replica is a voter in the newest configuration. */
  boolean isVoter() {
    return log.configuration().isVoter(id, incarnation);
  }

  /** Creates the header of a message in the current term. */
  RaftHeader header(int to, long toIncarnation) {
    return new RaftHeader(group, id, incarnation, to, toIncarnation, term);
  }

  /** Returns the pending outputs and replaces their lists; those handed out stay unchanged. */
  Ready takeOutputs(List<LogEntry> committed, Optional<SnapshotInstall> install) {
    Ready ready =
        new Ready(messages, records, messagesAfterSync, committed, install, snapshotRequests);
    messages = new ArrayList<>();
    records = new ArrayList<>();
    messagesAfterSync = new ArrayList<>();
    snapshotRequests = new ArrayList<>();
    return ready;
  }
}
