package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.List;
import java.util.Optional;

/**
 * The pending outputs of a replica, to be handled in this order: {@code messages} are sent at once;
 * {@code records} are made durable; then {@code messagesAfterSync} are sent and {@link
 * RaftReplica#onSynced} is called. {@code committed} entries are applied in order and need not wait
 * for the sync.
 */
public record Ready(
    List<RaftMessage> messages,
    List<LogRecord> records,
    List<RaftMessage> messagesAfterSync,
    List<LogEntry> committed,
    Optional<SnapshotInstall> install,
    List<SnapshotRequest> snapshotRequests) {

  /** Whether there are records to sync or messages that wait for a sync. */
  public boolean needsSync() {
    return !records.isEmpty() || !messagesAfterSync.isEmpty();
  }
}
