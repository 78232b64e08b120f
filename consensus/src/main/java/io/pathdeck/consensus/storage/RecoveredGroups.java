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
  /**
   * What was found of a group's log.
   *
   * @param firstIndex the index of the first entry; 0 when there is none
   * @param gaps how often an entry did not follow the one before it
   * @param bytesDropped the length of the torn write removed from the end of the log
   * @param filesSynced the files of the folder that were synced before it was read
   */
  public record Summary(long firstIndex, int gaps, long bytesDropped, int filesSynced) {}

  private static final class Replay {
    long term;
    int votedFor = RecoveredState.NO_REPLICA;
    GroupConfiguration bootstrap;
    int gaps;
    final List<LogEntry> entries = new ArrayList<>();
  }

  private final Map<Integer, Replay> groups = new HashMap<>();
  private long bytesDropped;
  private int filesSynced;

  /** Notes how the log was opened that the records came from. */
  public void onOpened(DataFolder folder, SegmentedLog log) {
    bytesDropped = log.bytesDropped();
    filesSynced = folder.filesSynced();
  }

  public void replay(LogRecord logRecord) {
    Replay replay = groups.computeIfAbsent(logRecord.group(), key -> new Replay());
    if (logRecord instanceof EntryRecord entry) {
      replayEntry(replay, entry.entry());
    } else if (logRecord instanceof HardStateRecord hardState) {
      replay.term = hardState.term();
      replay.votedFor = hardState.votedFor();
    } else if (logRecord instanceof BootstrapRecord bootstrap) {
      replay.bootstrap = bootstrap.configuration();
    } else if (logRecord instanceof ResetRecord) {
      replay.entries.clear();
    }
  }

  private static void replayEntry(Replay replay, LogEntry entry) {
    List<LogEntry> entries = replay.entries;
    while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
      entries.remove(entries.size() - 1);
    }
    boolean gap =
        !entries.isEmpty() && entries.get(entries.size() - 1).index() + 1 != entry.index();
    if (gap) {
      replay.gaps++;
      entries.clear();
    }
    entries.add(entry);
  }

  /** What was found of the log of {@code group}. */
  public Summary summary(int group) {
    Replay replay = groups.getOrDefault(group, new Replay());
    long firstIndex = replay.entries.isEmpty() ? 0 : replay.entries.get(0).index();
    return new Summary(firstIndex, replay.gaps, bytesDropped, filesSynced);
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
