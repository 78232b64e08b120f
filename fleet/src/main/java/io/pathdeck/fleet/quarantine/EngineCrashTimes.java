package io.pathdeck.fleet.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** When each engine crashed, as far as reported; confined to one thread. */
final class EngineCrashTimes {
  /** Longer than the time in which a crash may be compared with another one. */
  private static final long TTL_MS = 120_000;

  private final Map<String, Long> atMsByEngine = new LinkedHashMap<>();

  /** Adds the crash of an engine; it may be known. */
  void add(String engine, long atMs) {
    atMsByEngine.merge(engine, atMs, Math::min);
  }

  /** Whether an engine crashed after a time. */
  boolean hasCrashAfter(long timeMs) {
    return atMsByEngine.values().stream().anyMatch(atMs -> atMs > timeMs);
  }

  /** Whether another engine crashed at most {@code spanMs} before or after a time. */
  boolean hasOtherCrashAround(String engine, long timeMs, long spanMs) {
    return atMsByEngine.entrySet().stream()
        .filter(crash -> !crash.getKey().equals(engine))
        .anyMatch(crash -> Math.abs(crash.getValue() - timeMs) <= spanMs);
  }

  void expire(long nowMs) {
    atMsByEngine.values().removeIf(atMs -> nowMs - atMs > TTL_MS);
  }

  void clear() {
    atMsByEngine.clear();
  }
}
