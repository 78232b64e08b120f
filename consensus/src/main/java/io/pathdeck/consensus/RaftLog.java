package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The in-memory log of a replica: the entries after its snapshot, the configuration in effect at
 * the snapshot's index, and the configurations in these entries.
 */
final class RaftLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, GroupConfiguration> configurations = new TreeMap<>();
  private long snapshotIndex;
  private long snapshotTerm;
  private long sizeBytes;

  /**
   * Empties the log and starts it after the snapshot at {@code index}, or at its beginning for
   * index 0.
   */
  void reset(long index, long term, GroupConfiguration configuration) {
    entries.clear();
    configurations.clear();
    sizeBytes = 0;
    snapshotIndex = index;
    snapshotTerm = term;
    configurations.put(index, configuration);
  }

  boolean hasConfiguration() {
    return !configurations.isEmpty();
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  long lastIndex() {
    return snapshotIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshotTerm : entries.get(entries.size() - 1).term();
  }

  long sizeBytes() {
    return sizeBytes;
  }

  /**
   * The term of the entry at {@code index}, or -1 if it is neither in the log nor the last one of
   * the snapshot.
   */
  long term(long index) {
    if (index == snapshotIndex) {
      return snapshotTerm;
    }
    if (index < snapshotIndex || index > lastIndex()) {
      return -1;
    }
    return entry(index).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - snapshotIndex - 1));
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException(
          "cannot append entry " + entry.index() + " after " + lastIndex());
    }
    entries.add(entry);
    sizeBytes += entry.sizeBytes();
    if (entry.configuration() != null) {
      configurations.put(entry.index(), entry.configuration());
    }
  }

  /** Removes the entry at {@code index} and all after it. */
  void truncateFrom(long index) {
    while (lastIndex() >= index) {
      LogEntry removed = entries.remove(entries.size() - 1);
      sizeBytes -= removed.sizeBytes();
    }
    configurations.tailMap(index, true).clear();
  }

  /** Entries from {@code from} on: at least one, and more while they fit in {@code maxBytes}. */
  List<LogEntry> slice(long from, int maxBytes) {
    List<LogEntry> slice = new ArrayList<>();
    long bytes = 0;
    for (long index = from; index <= lastIndex(); index++) {
      LogEntry entry = entry(index);
      bytes += entry.sizeBytes();
      if (!slice.isEmpty() && bytes > maxBytes) {
        break;
      }
      slice.add(entry);
    }
    return slice;
  }

  GroupConfiguration configuration() {
    return configurations.lastEntry().getValue();
  }

  long configurationIndex() {
    return configurations.lastKey();
  }

  /** The configuration in effect at {@code index}. */
  GroupConfiguration configurationAt(long index) {
    Map.Entry<Long, GroupConfiguration> entry = configurations.floorEntry(index);
    return entry == null ? configurations.firstEntry().getValue() : entry.getValue();
  }

  /** Discards the entries up to {@code index}, which a snapshot covers. */
  void compact(long index) {
    if (index <= snapshotIndex) {
      return;
    }
    long term = term(index);
    GroupConfiguration configuration = configurationAt(index);
    int count = (int) (index - snapshotIndex);
    for (LogEntry removed : entries.subList(0, count)) {
      sizeBytes -= removed.sizeBytes();
    }
    entries.subList(0, count).clear();
    configurations.headMap(index, true).clear();
    configurations.put(index, configuration);
    snapshotIndex = index;
    snapshotTerm = term;
  }
}
