package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a quarantined request, or one with a quarantined part of prompts, may be sent once,
 * to find out whether it was quarantined by mistake; confined to one thread.
 *
 * <p>Each trial of a request or part that does crash engines costs one of them, so they become
 * rare. A request has {@value #MAX_TRIALS_OF_REQUEST}, whoever leads: a new leader learns from the
 * replicated state what was tried before. A part has no last trial, since accepted batch items wait
 * for it, and trials may have met crashes of other reasons. It counts once for all services.
 */
public final class QuarantineTrials {
  /** A doubtful request may cost two more engines before it is quarantined again. */
  static final int MAX_TRIALS_OF_REQUEST = 1;

  /** By then all processes hold the suspect back, and have told when they saw it served. */
  static final long FIRST_DELAY_MS = 4_000;

  private static final long SECOND_DELAY_MS = 16_000;

  /** Limits how long a part that was quarantined by mistake is held back in calm times. */
  static final long MAX_DELAY_MS = 64_000;

  /** Two trials that crashed engines are strong evidence, so later ones are rare. */
  private static final int TRIALS_BEFORE_MAX_DELAY = 2;

  /** The trials of one request or part. */
  private static final class Trials {
    private final RequestFingerprint suspect;
    private int granted;
    private long nextMs;

    private Trials(RequestFingerprint suspect, int granted, long nextMs) {
      this.suspect = suspect;
      this.granted = granted;
      this.nextMs = nextMs;
    }

    private boolean areLeft() {
      return suspect.isPromptPart() || granted < MAX_TRIALS_OF_REQUEST;
    }
  }

  private final List<Trials> trialsBySuspect = new ArrayList<>();

  /**
   * Records that a request or part is in quarantine.
   *
   * @param granted the trials that leaders have granted so far
   */
  public void onQuarantined(RequestFingerprint suspect, int granted, long nowMs) {
    if (find(suspect) == null) {
      long delayMs = granted < TRIALS_BEFORE_MAX_DELAY ? FIRST_DELAY_MS : MAX_DELAY_MS;
      trialsBySuspect.add(new Trials(suspect, granted, nowMs + delayMs));
    }
  }

  /** Returns whether a trial may be sent now, and counts it. */
  public boolean grant(RequestFingerprint suspect, long nowMs) {
    Trials trials = find(suspect);
    if (trials == null || !trials.areLeft() || nowMs < trials.nextMs) {
      return false;
    }
    trials.granted++;
    boolean isSecondNext = trials.granted < TRIALS_BEFORE_MAX_DELAY;
    trials.nextMs = nowMs + (isSecondNext ? SECOND_DELAY_MS : MAX_DELAY_MS);
    return true;
  }

  /** Forgets what had its last trial due before a time. */
  public void expire(long timeMs) {
    trialsBySuspect.removeIf(trials -> trials.nextMs < timeMs);
  }

  /** Forgets everything, when this process no longer leads. */
  public void clear() {
    trialsBySuspect.clear();
  }

  private Trials find(RequestFingerprint suspect) {
    for (Trials trials : trialsBySuspect) {
      if (trials.suspect.equals(suspect) || trials.suspect.isSamePromptPart(suspect)) {
        return trials;
      }
    }
    return null;
  }
}
