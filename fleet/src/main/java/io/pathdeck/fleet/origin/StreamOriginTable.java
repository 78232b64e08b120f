package io.pathdeck.fleet.origin;

import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The origins of streams that have begun, as far as known; bounded in time and number. */
final class StreamOriginTable {
  /** About 100 bytes each. */
  static final int MAX_ENTRIES = 50_000;

  /** Bounds what another process may ask to remember. */
  static final int MAX_VALID_MS = (int) SoftwareVersions.MAX_RETENTION_MS;

  private static final long SWEEP_INTERVAL_MS = 1_000;

  private record Entry(StreamOriginRecord record, long expiresMs) {
    boolean isExpired(long nowMs) {
      return nowMs >= expiresMs;
    }

    StreamOriginRecord remaining(long nowMs) {
      int validMs = (int) (expiresMs - nowMs);
      return new StreamOriginRecord(record.stream(), record.origin(), validMs);
    }
  }

  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private long nextSweepMs;

  /** Adds or extends a record; ignored if the stream may have begun elsewhere. */
  void put(StreamOriginRecord added, long nowMs) {
    sweep(nowMs);
    if (!added.hasBegun()) {
      return;
    }
    Entry known = entries.remove(added.stream());
    long expiresMs = nowMs + Math.min(MAX_VALID_MS, added.validMs());
    if (known != null) {
      expiresMs = Math.max(expiresMs, known.expiresMs());
    }
    entries.put(added.stream(), new Entry(added, expiresMs));
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
