package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when one request with a quarantined part of prompts may be sent, to find out whether the
 * part was quarantined by mistake; confined to one thread.
 *
 * <p>Each trial of a part that does crash engines costs one of them, so there are few in all. They
 * are counted in memory: a leader grants trials only of parts that it has quarantined itself, so
 * that a change of leader allows none again. A part counts once for all services.
 */
final class QuarantineTrials {
  static final int MAX_TRIALS = 2;

  /** By then all processes hold the part back, and have told when they saw it served. */
  static final long FIRST_DELAY_MS = 4_000;

  private static final long DELAY_FACTOR = 4;

  /** The trials of one part. */
  private static final class Trials {
    private final RequestFingerprint part;
    private int granted;
    private long nextMs;

    private Trials(RequestFingerprint part, long nextMs) {
      this.part = part;
      this.nextMs = nextMs;
    }
  }

  private final List<Trials> trialsByPart = new ArrayList<>();

  /** Records that this leader has quarantined a part. */
  void onQuarantined(RequestFingerprint part, long nowMs) {
    if (part.isPromptPart() && find(part) == null) {
      trialsByPart.add(new Trials(part, nowMs + FIRST_DELAY_MS));
    }
  }

  /** Returns whether a trial may be sent now, and counts it. */
  boolean grant(RequestFingerprint part, long nowMs) {
    Trials trials = find(part);
    if (trials == null || trials.granted >= MAX_TRIALS || nowMs < trials.nextMs) {
      return false;
    }
    trials.granted++;
    trials.nextMs = nowMs + FIRST_DELAY_MS * DELAY_FACTOR;
    return true;
  }

  /** Forgets the parts whose trials were all due before a time. */
  void expire(long timeMs) {
    trialsByPart.removeIf(trials -> trials.nextMs < timeMs);
  }

  void clear() {
    trialsByPart.clear();
  }

  private Trials find(RequestFingerprint part) {
    for (Trials trials : trialsByPart) {
      if (trials.part.isSamePromptPart(part)) {
        return trials;
      }
    }
    return null;
  }
}
