package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a success disproves a quarantine; confined to one thread.
 *
 * <p>The leader that put something into quarantine knows the crashes that led to it and goes by
 * them as long as they count. A later leader does not know all of them, so for it only a success
 * after it took over counts: an earlier one may have come before the crashes.
 */
public final class SuccessRule {
  /** When this leader decided on a quarantine. */
  private final Map<RequestFingerprint, Long> decidedMs = new HashMap<>();

  /** When this leader first saw something in quarantine. */
  private final Map<RequestFingerprint, Long> seenMs = new HashMap<>();

  /** Records that this leader decided on a quarantine. */
  public void onDecided(RequestFingerprint suspect, long nowMs) {
    decidedMs.put(suspect, nowMs);
  }

  /** Records what is in quarantine. */
  public void onQuarantine(Collection<RequestFingerprint> quarantined, long nowMs) {
    decidedMs.keySet().retainAll(quarantined);
    seenMs.keySet().retainAll(quarantined);
    quarantined.forEach(suspect -> seenMs.putIfAbsent(suspect, nowMs));
  }

  /** Forgets everything, when this process no longer leads. */
  public void clear() {
    decidedMs.clear();
    seenMs.clear();
  }

  /** Returns whether this leader knows the crashes that speak against a suspect. */
  private boolean knowsCrashes(RequestFingerprint suspect, long nowMs) {
    Long decided = decidedMs.get(suspect);
    return decided != null && nowMs - decided < CrashCauseDetector.EVIDENCE_TTL_MS;
  }

  /**
   * Whether a success may disprove a quarantine, if the crashes that this leader knows do not
   * suffice for it.
   */
  public boolean mayDisprove(RequestFingerprint suspect, long servedMs, long nowMs) {
    return knowsCrashes(suspect, nowMs) || servedMs > seenMs.getOrDefault(suspect, nowMs);
  }
}
