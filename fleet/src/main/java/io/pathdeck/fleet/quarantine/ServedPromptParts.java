package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When this process last saw a request with each part of prompts served to its end; confined to one
 * thread.
 */
final class ServedPromptParts {
  /** Bounds memory, at about 250 bytes per part; the parts served longest ago are evicted first. */
  private static final int MAX_PARTS = 4_096;

  private final Map<RequestFingerprint, Long> servedAtMs = new LinkedHashMap<>();

  void onServed(RequestFingerprint part, long nowMs) {
    servedAtMs.remove(part);
    servedAtMs.put(part, nowMs);
    if (servedAtMs.size() > MAX_PARTS) {
      Iterator<RequestFingerprint> oldest = servedAtMs.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns when a part was last served, if that is not longer ago than crashes count. */
  OptionalLong lastServedMs(RequestFingerprint part, long nowMs) {
    Long atMs = servedAtMs.get(part);
    boolean isRecent = atMs != null && nowMs - atMs <= CrashCauseDetector.EVIDENCE_TTL_MS;
    return isRecent ? OptionalLong.of(atMs) : OptionalLong.empty();
  }
}
