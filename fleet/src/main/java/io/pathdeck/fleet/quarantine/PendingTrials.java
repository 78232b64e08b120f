package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The trials that this process asks the leading coordinator for; confined to one thread.
 *
 * <p>A call with several quarantined suspects needs one trial of all of them. A trial that is asked
 * for again keeps its id until it is granted, since the answer to an earlier request may be lost.
 */
final class PendingTrials {
  static final long ASK_INTERVAL_MS = 500;

  /** Bounds memory, at about 500 bytes per entry; the oldest are evicted first. */
  private static final int MAX_PENDING = 256;

  private static final class Pending {
    private Trial trial;
    private long askedMs;

    private Pending(Trial trial, long askedMs) {
      this.trial = trial;
      this.askedMs = askedMs;
    }
  }

  private final Map<Set<RequestFingerprint>, Pending> pendingBySuspects = new LinkedHashMap<>();

  /**
   * Returns the trial to ask for now, which counts as asked for then; empty if the leader was asked
   * for a trial of these suspects a short time ago.
   */
  Optional<Trial> toRequest(Set<RequestFingerprint> suspects, long nowMs) {
    Pending pending = pendingBySuspects.get(suspects);
    if (pending == null) {
      evictOldest();
      pending = new Pending(Trial.of(suspects), nowMs);
      pendingBySuspects.put(suspects, pending);
      return Optional.of(pending.trial);
    }
    if (nowMs - pending.askedMs < ASK_INTERVAL_MS) {
      return Optional.empty();
    }
    pending.askedMs = nowMs;
    return Optional.of(pending.trial);
  }

  private void evictOldest() {
    if (pendingBySuspects.size() >= MAX_PENDING) {
      pendingBySuspects.keySet().remove(pendingBySuspects.keySet().iterator().next());
    }
  }

  /** Records that a trial was granted, so that the next one has an id of its own. */
  void onGranted(Trial trial) {
    Pending pending = pendingBySuspects.get(trial.suspects());
    if (pending != null && pending.trial.equals(trial)) {
      pending.trial = Trial.of(trial.suspects());
    }
  }

  /** Forgets what is no longer quarantined. */
  void retain(Set<RequestFingerprint> quarantined) {
    pendingBySuspects.keySet().removeIf(suspects -> !quarantined.containsAll(suspects));
  }
}
