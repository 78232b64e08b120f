package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The trials of quarantined parts of prompts that the leading coordinator has granted to this
 * process; each allows one send. Confined to one thread.
 */
final class TrialPermits {
  private static final long ASK_INTERVAL_MS = 500;

  /** Longer than the pause before a held back item is tried again. */
  private static final long VALIDITY_MS = 1_500;

  private final Map<RequestFingerprint, Long> askedMs = new HashMap<>();
  private final Map<RequestFingerprint, Long> expiryMs = new HashMap<>();

  /** Whether the leader should be asked now for a trial of a part, which counts as asked then. */
  boolean shouldAsk(RequestFingerprint part, long nowMs) {
    Long lastMs = askedMs.get(part);
    if (lastMs != null && nowMs - lastMs < ASK_INTERVAL_MS) {
      return false;
    }
    askedMs.put(part, nowMs);
    return true;
  }

  void onGranted(RequestFingerprint part, long nowMs) {
    expiryMs.put(part, nowMs + VALIDITY_MS);
  }

  /** Returns whether one request with a part may be sent now, and counts it. */
  boolean use(RequestFingerprint part, long nowMs) {
    Long expiry = expiryMs.remove(part);
    return expiry != null && nowMs < expiry;
  }

  /** Forgets what is no longer quarantined. */
  void retain(Set<RequestFingerprint> quarantined) {
    askedMs.keySet().retainAll(quarantined);
    expiryMs.keySet().retainAll(quarantined);
  }
}
