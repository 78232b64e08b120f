package io.pathdeck.control;

import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.SnapshotRequest;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.message.RaftBatch;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import java.util.List;

/** What the consensus duty receives through its ring. */
public sealed interface ControllerEvent {

  /** The event for a message from another process, or null when none is expected. */
  static ControllerEvent of(Message message, ReplySink reply) {
    if (message instanceof RaftBatch batch) {
      return new ControllerEvent.PeerMessages(batch.messages());
    }
    if (message instanceof ProposeRequest request) {
      return new ControllerEvent.Propose(
          request.group(), request.clientId(), request.requestId(), request.command(), reply);
    }
    if (message instanceof QueryRequest request) {
      return new ControllerEvent.Read(request.group(), request.query(), reply);
    }
    if (message instanceof ConfigurationHeartbeat heartbeat) {
      return new ControllerEvent.Heartbeat(heartbeat, reply);
    }
    return null;
  }

  /** Messages from another controller. */
  record PeerMessages(List<RaftMessage> messages) implements ControllerEvent {}

  /** A command to replicate. */
  record Propose(int group, String clientId, long requestId, Command command, ReplySink reply)
      implements ControllerEvent {}

  /** A linearizable read. */
  record Read(int group, Query query, ReplySink reply) implements ControllerEvent {}

  /** A process asks for its configuration lease. */
  record Heartbeat(ConfigurationHeartbeat heartbeat, ReplySink reply) implements ControllerEvent {}

  /** Something to be done on the consensus duty's thread. */
  record Task(Runnable action) implements ControllerEvent {}

  /** Records of a batch are durable. */
  record Synced(List<SyncedGroup> groups) implements ControllerEvent {}

  /** The last entry of a group in a synced batch (index 0: none) and the messages it holds back. */
  record SyncedGroup(int group, long lastIndex, long lastTerm, List<RaftMessage> messages) {}

  /** A snapshot of the group's own state is durable. */
  record SnapshotWritten(int group, long index) implements ControllerEvent {}

  /** A snapshot received from the leader is durable. */
  record SnapshotStored(int group, SnapshotMetadata metadata) implements ControllerEvent {}

  /** A part of the newest snapshot was read for a follower. */
  record SnapshotPartRead(
      int group, SnapshotRequest request, SnapshotMetadata metadata, byte[] data, boolean last)
      implements ControllerEvent {}
}
