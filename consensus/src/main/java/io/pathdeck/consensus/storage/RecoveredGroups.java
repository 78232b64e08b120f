package io.pathdeck.consensus.storage;

import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.HardStateRecord;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.ResetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Rebuilds the state of every group by replaying the records of the log in order. */
public final class RecoveredGroups {
  private static final class Replay {
    long term;
    int votedFor = RecoveredState.NO_REPLICA;
    GroupConfiguration bootstrap;
    final List<LogEntry> entries = new ArrayList<>();
  }

  private final Map<Integer, Replay> groups = new HashMap<>();

  public void replay(LogRecord logRecord) {
    Replay replay = groups.computeIfAbsent(logRecord.group(), key -> new Replay());
    if (logRecord instanceof EntryRecord entry) {
      replayEntry(replay.entries, entry.entry());
    } else if (logRecord instanceof HardStateRecord hardState) {
      replay.term = hardState.term();
      replay.votedFor = hardState.votedFor();
    } else if (logRecord instanceof BootstrapRecord bootstrap) {
      replay.bootstrap = bootstrap.configuration();
    } else if (logRecord instanceof ResetRecord) {
      replay.entries.clear();
    }
  }

  private static void replayEntry(List<LogEntry> entries, LogEntry entry) {
    while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
      entries.remove(entries.size() - 1);
    }
    boolean gap =
        !entries.isEmpty() && entries.get(entries.size() - 1).index() + 1 != entry.index();
    if (gap) {
      entries.clear();
    }
    entries.add(entry);
  }

  /** The state recovered for {@code group}, with the metadata of its newest snapshot. */
  public RecoveredState state(int group, Optional<SnapshotMetadata> snapshot) {
    Replay replay = groups.getOrDefault(group, new Replay());
    return new RecoveredState(
        replay.term,
        replay.votedFor,
        Optional.ofNullable(replay.bootstrap),
        snapshot,
        replay.entries);
  }
}
