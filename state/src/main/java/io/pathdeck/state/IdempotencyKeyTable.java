package io.pathdeck.state;

import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.KeyReserved;
import io.pathdeck.protocol.command.ReserveKey;
import io.pathdeck.protocol.snapshot.KeyRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Idempotency keys of submissions and the values they are bound to. */
final class IdempotencyKeyTable {
  /** How long a key stays bound, in log time; the same as for jobs. */
  static final long RETENTION_MS = JobsStateMachine.RETENTION_MS;

  private record Key(String tenant, String key) {}

  private final Map<Key, KeyRecord> keys = new LinkedHashMap<>();

  CommandResult reserve(ReserveKey command, long nowMs) {
    prune(nowMs);
    Key key = new Key(command.tenant(), command.key());
    KeyRecord existing = keys.get(key);
    if (existing != null) {
      return new KeyReserved(existing.value(), existing.fingerprint(), false);
    }
    KeyRecord created =
        new KeyRecord(
            command.tenant(),
            command.key(),
            command.fingerprint(),
            command.value(),
            nowMs + RETENTION_MS);
    keys.put(key, created);
    return new KeyReserved(created.value(), created.fingerprint(), true);
  }

  private void prune(long nowMs) {
    Iterator<KeyRecord> oldest = keys.values().iterator();
    while (oldest.hasNext() && oldest.next().expiresAtMs() <= nowMs) {
      oldest.remove();
    }
  }

  List<Object> records() {
    return new ArrayList<>(keys.values());
  }

  void restore(KeyRecord record) {
    keys.put(new Key(record.tenant(), record.key()), record);
  }

  void clear() {
    keys.clear();
  }
}
