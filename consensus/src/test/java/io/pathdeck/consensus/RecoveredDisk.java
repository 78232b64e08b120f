package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.HardStateRecord;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Recovers a replica from the records that it wrote, all of which were synced. */
final class RecoveredDisk {
  private RecoveredDisk() {}

  static RecoveredState recover(List<LogRecord> records) {
    long term = 0;
    int votedFor = RecoveredState.NO_REPLICA;
    GroupConfiguration bootstrap = null;
    TreeMap<Long, LogEntry> entries = new TreeMap<>();
    for (LogRecord logRecord : records) {
      if (logRecord instanceof HardStateRecord vote) {
        term = vote.term();
        votedFor = vote.votedFor();
      } else if (logRecord instanceof BootstrapRecord founded) {
        bootstrap = founded.configuration();
      } else if (logRecord instanceof EntryRecord written) {
        entries.tailMap(written.entry().index(), true).clear();
        entries.put(written.entry().index(), written.entry());
      }
    }
    return new RecoveredState(
        term,
        votedFor,
        Optional.ofNullable(bootstrap),
        Optional.empty(),
        new ArrayList<>(entries.values()));
  }
}
