package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The trials of quarantined requests and parts of prompts that the leading coordinator has granted
 * to this process; each allows one send. Confined to one thread.
 */
final class TrialPermits {
  private static final long ASK_INTERVAL_MS = 500;

  /** Longer than the pause before a held back item is tried again. */
  private static final long VALIDITY_MS = 1_500;

  private final Map<RequestFingerprint, Long> askedMs = new HashMap<>();
  private final Map<RequestFingerprint, Long> expiryMs = new HashMap<>();

  /** Whether the leader should be asked now for a trial, which counts as asked for then. */
  boolean shouldAsk(RequestFingerprint suspect, long nowMs) {
    Long lastMs = askedMs.get(suspect);
    if (lastMs != null && nowMs - lastMs < ASK_INTERVAL_MS) {
      return false;
    }
    askedMs.put(suspect, nowMs);
    return true;
  }

  void onGranted(RequestFingerprint suspect, long nowMs) {
    expiryMs.put(suspect, nowMs + VALIDITY_MS);
  }

  /** Returns whether one request may be sent now as a trial, and counts it. */
  boolean use(RequestFingerprint suspect, long nowMs) {
    Long expiry = expiryMs.remove(suspect);
    return expiry != null && nowMs < expiry;
  }

  /** Forgets what is no longer quarantined. */
  void retain(Set<RequestFingerprint> quarantined) {
    askedMs.keySet().retainAll(quarantined);
    expiryMs.keySet().retainAll(quarantined);
  }
}
