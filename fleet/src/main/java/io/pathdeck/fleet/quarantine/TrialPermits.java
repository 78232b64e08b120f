package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The trials of quarantined requests and parts of prompts that the leading coordinator has granted
 * to this process; each allows one send. Confined to one thread.
 *
 * <p>A call with several quarantined parts needs a trial of each. The leader grants them at
 * different times, so a permit is kept until the leader may have granted the next one.
 */
final class TrialPermits {
  private static final long ASK_INTERVAL_MS = 500;

  /** Longer than the longest time between two trials of a part. */
  private static final long VALIDITY_MS = 70_000;

  private final Map<RequestFingerprint, Long> askedMs = new HashMap<>();
  private final Map<RequestFingerprint, Long> expiryMs = new HashMap<>();

  /** Whether the leader should be asked now for a trial, which counts as asked for then. */
  boolean shouldAsk(RequestFingerprint suspect, long nowMs) {
    Long lastMs = askedMs.get(suspect);
    if (isGranted(suspect, nowMs) || (lastMs != null && nowMs - lastMs < ASK_INTERVAL_MS)) {
      return false;
    }
    askedMs.put(suspect, nowMs);
    return true;
  }

  void onGranted(RequestFingerprint suspect, long nowMs) {
    expiryMs.put(suspect, nowMs + VALIDITY_MS);
  }

  /**
   * Returns whether one call that is held back for all of these may be sent now as a trial, and
   * counts it.
   */
  boolean use(Collection<RequestFingerprint> suspects, long nowMs) {
    if (!suspects.stream().allMatch(suspect -> isGranted(suspect, nowMs))) {
      return false;
    }
    suspects.forEach(expiryMs::remove);
    return true;
  }

  private boolean isGranted(RequestFingerprint suspect, long nowMs) {
    Long expiry = expiryMs.get(suspect);
    return expiry != null && nowMs < expiry;
  }

  /** Forgets what is no longer quarantined. */
  void retain(Set<RequestFingerprint> quarantined) {
    askedMs.keySet().retainAll(quarantined);
    expiryMs.keySet().retainAll(quarantined);
  }
}
