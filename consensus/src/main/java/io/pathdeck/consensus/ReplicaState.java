package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.ArrayList;
import java.util.List;

/** What the parts of one replica share: who it is, its log, its term and its pending outputs. */
final class ReplicaState {
  final int group;
  final int id;
  final long incarnation;
  final RaftSettings settings;
  final RaftLog log = new RaftLog();
  long term;
  long commitIndex;
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

  /** The header of a message of this term. */
  RaftHeader header(int to, long toIncarnation) {
    return new RaftHeader(group, id, incarnation, to, toIncarnation, term);
  }

  /** Forgets the pending outputs, after they were taken. */
  void clearOutputs() {
    messages = new ArrayList<>();
    records = new ArrayList<>();
    messagesAfterSync = new ArrayList<>();
    snapshotRequests = new ArrayList<>();
  }
}
