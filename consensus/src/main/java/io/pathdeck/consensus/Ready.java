package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.List;
import java.util.Optional;

/**
 * What a replica wants done, in this order: {@code messages} may go at once; {@code records} are
 * made durable; then {@code messagesAfterSync} go and {@link RaftReplica#onSynced} is called.
 * {@code committed} entries are applied in order and need not wait.
 */
public record Ready(
    List<RaftMessage> messages,
    List<LogRecord> records,
    List<RaftMessage> messagesAfterSync,
    List<LogEntry> committed,
    Optional<SnapshotInstall> install,
    List<SnapshotRequest> snapshotRequests) {

  /** Whether anything must pass through the storage before more can happen. */
  public boolean needsSync() {
    return !records.isEmpty() || !messagesAfterSync.isEmpty();
  }
}
