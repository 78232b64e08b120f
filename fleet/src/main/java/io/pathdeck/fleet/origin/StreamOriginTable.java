package io.pathdeck.fleet.origin;

import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The origins of streams that this gateway knows, bounded in time and number. */
final class StreamOriginTable {
  /** About 100 bytes each. */
  static final int MAX_ENTRIES = 50_000;

  /** Longer than any caller waits; bounds what another process may ask to remember. */
  static final int MAX_VALID_MS = 60_000;

  private static final long SWEEP_INTERVAL_MS = 1_000;

  private record Entry(StreamOriginRecord record, long expiresMs) {
    boolean isExpired(long nowMs) {
      return nowMs >= expiresMs;
    }

    StreamOriginRecord remaining(long nowMs) {
      int validMs = (int) (expiresMs - nowMs);
      return new StreamOriginRecord(record.stream(), record.origin(), record.attempt(), validMs);
    }
  }

  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private long nextSweepMs;

  /** Adds or extends a record; ignored if a later attempt of the stream is known. */
  void put(StreamOriginRecord added, long nowMs) {
    sweep(nowMs);
    Entry known = entries.get(added.stream());
    boolean isOlder =
        known != null && !known.isExpired(nowMs) && known.record().attempt() > added.attempt();
    if (isOlder) {
      return;
    }
    entries.remove(added.stream());
    int validMs = Math.min(MAX_VALID_MS, added.validMs());
    entries.put(added.stream(), new Entry(added, nowMs + validMs));
    if (entries.size() > MAX_ENTRIES) {
      Iterator<Entry> oldest = entries.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private void sweep(long nowMs) {
    if (nowMs >= nextSweepMs) {
      nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
      entries.values().removeIf(entry -> entry.isExpired(nowMs));
    }
  }

  Optional<StreamOriginRecord> find(long stream, long nowMs) {
    return Optional.ofNullable(entries.get(stream))
        .filter(entry -> !entry.isExpired(nowMs))
        .map(entry -> entry.remaining(nowMs));
  }

  /** Returns the records that are still valid and whose origin matches. */
  List<StreamOriginRecord> matching(Predicate<StreamOrigin> filter, long nowMs) {
    List<StreamOriginRecord> matching = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!entry.isExpired(nowMs) && filter.test(entry.record().origin())) {
        matching.add(entry.remaining(nowMs));
      }
    }
    return matching;
  }

  int size() {
    return entries.size();
  }
}
