package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import java.util.List;
import java.util.Optional;

/** The state of a replica as recovered from its disk. */
public record RecoveredState(
    long term,
    int votedFor,
    Optional<GroupConfiguration> bootstrap,
    Optional<SnapshotMetadata> snapshot,
    List<LogEntry> entries) {
  /** The id that stands for no replica: no vote in the term, or no known leader. */
  public static final int NO_REPLICA = -1;

  /** The state of a replica with an empty disk. */
  public static RecoveredState empty() {
    return new RecoveredState(0, NO_REPLICA, Optional.empty(), Optional.empty(), List.of());
  }
}
