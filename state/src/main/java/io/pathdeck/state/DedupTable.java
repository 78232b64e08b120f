package io.pathdeck.state;

import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.snapshot.DedupRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Results of recent commands, so that a resent command gets the same result and is not executed
 * again.
 */
final class DedupTable {
  /** How long a result is kept, in log time. */
  static final long RETENTION_MS = 15 * 60 * 1_000L;

  private static final int MAX_ENTRIES = 100_000;

  private record Key(String clientId, long requestId) {}

  private final Map<Key, DedupRecord> entries = new LinkedHashMap<>();

  Optional<CommandResult> find(String clientId, long requestId) {
    return Optional.ofNullable(entries.get(new Key(clientId, requestId))).map(DedupRecord::result);
  }

  void store(String clientId, long requestId, CommandResult result, long nowMs) {
    Key key = new Key(clientId, requestId);
    entries.put(key, new DedupRecord(clientId, requestId, nowMs + RETENTION_MS, result));
    prune(nowMs);
  }

  private void prune(long nowMs) {
    Iterator<DedupRecord> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      DedupRecord entry = oldest.next();
      if (entry.expiresAtMs() > nowMs && entries.size() <= MAX_ENTRIES) {
        return;
      }
      oldest.remove();
    }
  }

  List<Object> records() {
    return new ArrayList<>(entries.values());
  }

  void restore(DedupRecord entry) {
    entries.put(new Key(entry.clientId(), entry.requestId()), entry);
  }

  void clear() {
    entries.clear();
  }
}
