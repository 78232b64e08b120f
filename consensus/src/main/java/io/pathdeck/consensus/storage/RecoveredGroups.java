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

    /** The index of the snapshot that last replaced the log; 0 when none did. */
    long resetIndex;

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
    } else if (logRecord instanceof ResetRecord reset) {
      replay.entries.clear();
      replay.resetIndex = reset.snapshotIndex();
    }
  }

  private static void replayEntry(Replay replay, LogEntry entry) {
    List<LogEntry> entries = replay.entries;
    while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
      entries.remove(entries.size() - 1);
    }
    if (!entries.isEmpty() && entries.get(entries.size() - 1).index() + 1 != entry.index()) {
      replay.gaps++;
    }
    entries.add(entry);
  }

  /** What was found of the log of {@code group}. */
  public Summary summary(int group) {
    Replay replay = groups.getOrDefault(group, new Replay());
    long firstIndex = replay.entries.isEmpty() ? 0 : replay.entries.get(0).index();
    return new Summary(firstIndex, replay.gaps, bytesDropped, filesSynced);
  }

  /**
   * The state recovered for {@code group}, with the metadata of its newest snapshot. Entries that
   * the snapshot covers may be missing or stem from segments that were deleted; those above it must
   * follow it.
   *
   * @throws StorageDamageException if entries are missing
   */
  public RecoveredState state(int group, Optional<SnapshotMetadata> snapshot)
      throws StorageDamageException {
    Replay replay = groups.getOrDefault(group, new Replay());
    return new RecoveredState(
        replay.term,
        replay.votedFor,
        Optional.ofNullable(replay.bootstrap),
        snapshot,
        entriesAfter(snapshot, group, replay));
  }

  private static List<LogEntry> entriesAfter(
      Optional<SnapshotMetadata> snapshot, int group, Replay replay) throws StorageDamageException {
    long start = snapshot.map(SnapshotMetadata::index).orElse(0L);
    if (start < replay.resetIndex) {
      throw new StorageDamageException(new StorageError.Gap(group, start, replay.resetIndex + 1));
    }
    List<LogEntry> above = replay.entries.stream().filter(entry -> entry.index() > start).toList();
    if (above.isEmpty() || isOverwritten(above.get(0), snapshot)) {
      return List.of();
    }
    boolean hasStart = snapshot.isPresent() || replay.bootstrap != null;
    long last = start;
    for (LogEntry entry : above) {
      if (!hasStart || entry.index() != last + 1) {
        throw new StorageDamageException(new StorageError.Gap(group, last, entry.index()));
      }
      last = entry.index();
    }
    return above;
  }

  /**
   * Whether the entry behind a snapshot was overwritten before the snapshot was taken; then so were
   * all that follow it, since an entry appended after the snapshot would have replaced it.
   */
  private static boolean isOverwritten(LogEntry entry, Optional<SnapshotMetadata> snapshot) {
    return snapshot
        .filter(taken -> entry.index() == taken.index() + 1 && entry.term() < taken.term())
        .isPresent();
  }
}
