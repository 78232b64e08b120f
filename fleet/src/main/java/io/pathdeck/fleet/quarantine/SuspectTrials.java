package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The trials of one quarantined request or part of prompts; confined to one thread. */
final class SuspectTrials {
  /** A crash under a trial, and whether it is in the replicated count. */
  private static final class Crash {
    private final String engine;
    private final long atMs;
    private final boolean hasOneSuspect;
    private boolean counting;
    private boolean counted;

    private Crash(String engine, long atMs, boolean hasOneSuspect) {
      this.engine = engine;
      this.atMs = atMs;
      this.hasOneSuspect = hasOneSuspect;
    }

    /**
     * Whether nothing but the suspect explains the crash: the call had no other one, and no other
     * engine crashed at about that time.
     */
    private boolean isAlone(EngineCrashTimes crashTimes) {
      return hasOneSuspect
          && !crashTimes.hasOtherCrashAround(engine, atMs, QuarantineTrials.CRASHES_TOGETHER_MS);
    }
  }

  private static final long NEVER = Long.MIN_VALUE;
  private static final int MAX_DOUBLINGS = 10;

  private final RequestFingerprint suspect;
  private final EngineCrashTimes crashTimes;
  private final int crashesBefore;
  private final Map<Long, Crash> crashes = new LinkedHashMap<>();

  /** When the trials that were sent and whose outcome is open were last heard of. */
  private final Map<Long, Long> openTrials = new HashMap<>();

  private boolean quarantined = true;
  private long nextMs;
  private int trialsWithoutVerdict;
  private long leasedTrial;
  private long endedTrial;
  private long grantedMs;
  private long leaseEndMs = NEVER;

  /**
   * Creates the trials of a suspect.
   *
   * @param crashesBefore the crashes under trials that earlier leaders granted
   * @param nextMs when the first trial may be sent
   */
  SuspectTrials(
      RequestFingerprint suspect, EngineCrashTimes crashTimes, int crashesBefore, long nextMs) {
    this.suspect = suspect;
    this.crashTimes = crashTimes;
    this.crashesBefore = crashesBefore;
    this.nextMs = nextMs;
  }

  boolean isOf(RequestFingerprint fingerprint) {
    return suspect.equals(fingerprint) || suspect.isSamePromptPart(fingerprint);
  }

  /** Records that the suspect is in quarantine; trials wait until all processes know it. */
  void onQuarantined(long nowMs) {
    if (!quarantined) {
      quarantined = true;
      nextMs = Math.max(nextMs, nowMs + QuarantineTrials.FIRST_DELAY_MS);
    }
  }

  void onReleased() {
    quarantined = false;
  }

  // ---- grants

  /** Whether this trial may be sent now; the one that has the lease may be asked for again. */
  boolean mayGrant(long trial, long nowMs) {
    if (nowMs < leaseEndMs) {
      return trial == leasedTrial
          && trial != QuarantineTrials.NO_TRIAL
          && nowMs - grantedMs < QuarantineTrials.LEASE_MS;
    }
    return areLeft(nowMs)
        && nowMs >= dueMs()
        && (isCalm(nowMs) || nowMs >= dueMs() + maxCalmWaitMs());
  }

  private boolean areLeft(long nowMs) {
    return suspect.isPromptPart()
        ? openTrials.isEmpty() || crashCount() + countOpen(nowMs) < QuarantineTrials.MAX_CRASHES
        : crashCount() < QuarantineTrials.MAX_TRIALS_OF_REQUEST;
  }

  /** Counts the trials whose leases ran out but under which engines may still crash. */
  private int countOpen(long nowMs) {
    openTrials.values().removeIf(heardMs -> nowMs - heardMs >= QuarantineTrials.MAX_DELAY_MS);
    return openTrials.size();
  }

  private boolean isCalm(long nowMs) {
    long calmMs = isLast() ? QuarantineTrials.CALM_BEFORE_LAST_MS : QuarantineTrials.CALM_MS;
    return !crashTimes.hasCrashAfter(nowMs - calmMs);
  }

  /** Whether a crash under the next trial leads to the long delays. */
  private boolean isLast() {
    return crashCount() == QuarantineTrials.MAX_CRASHES - 1;
  }

  private long maxCalmWaitMs() {
    return isLast() ? QuarantineTrials.MAX_DELAY_MS : QuarantineTrials.MAX_CALM_WAIT_MS;
  }

  /** Returns when the next trial is due. */
  long dueMs() {
    long lastCrashMs = crashes.values().stream().mapToLong(crash -> crash.atMs).max().orElse(NEVER);
    return lastCrashMs == NEVER ? nextMs : Math.max(nextMs, lastCrashMs + delayAfterCrashMs());
  }

  private long delayAfterCrashMs() {
    boolean isStrongEvidence =
        crashesAlone() >= QuarantineTrials.MAX_CRASHES_ALONE
            || crashCount() >= QuarantineTrials.MAX_CRASHES;
    return isStrongEvidence ? QuarantineTrials.MAX_DELAY_MS : QuarantineTrials.DELAY_AFTER_CRASH_MS;
  }

  private int crashCount() {
    return crashesBefore + crashes.size();
  }

  private long crashesAlone() {
    return crashes.values().stream().filter(crash -> crash.isAlone(crashTimes)).count();
  }

  void lease(long trial, long nowMs) {
    if (nowMs >= leaseEndMs) {
      grantedMs = nowMs;
    }
    leasedTrial = trial;
    leaseEndMs = nowMs + QuarantineTrials.LEASE_MS;
  }

  /** Renews the lease of a trial that is under way, perhaps granted by an earlier leader. */
  void onRunning(long trial, long nowMs) {
    boolean isOver = trial == endedTrial && trial != QuarantineTrials.NO_TRIAL;
    if (!isOver && (trial == leasedTrial || nowMs >= leaseEndMs)) {
      lease(trial, nowMs);
      openTrials.put(trial, nowMs);
    }
  }

  private void endLease(long trial) {
    endedTrial = trial;
    openTrials.remove(trial);
    if (trial == leasedTrial) {
      leaseEndMs = NEVER;
    }
  }

  // ---- outcomes

  /** A success disproves what crashes under earlier trials seemed to tell. */
  void onServed(long trial, long nowMs) {
    endLease(trial);
    crashes.clear();
    trialsWithoutVerdict = 0;
    nextMs = nowMs + QuarantineTrials.MIN_RETRY_DELAY_MS;
  }

  void onNoVerdict(long trial, long nowMs) {
    openTrials.remove(trial);
    if (nowMs < leaseEndMs && trial == leasedTrial) {
      endLease(trial);
      long delayMs =
          QuarantineTrials.MIN_RETRY_DELAY_MS << Math.min(trialsWithoutVerdict, MAX_DOUBLINGS);
      trialsWithoutVerdict++;
      nextMs = nowMs + Math.min(delayMs, QuarantineTrials.MAX_RETRY_DELAY_MS);
    }
  }

  void onCrashed(long trial, String engine, long atMs, boolean hasOneSuspect) {
    endLease(trial);
    trialsWithoutVerdict = 0;
    crashes.computeIfAbsent(trial, key -> new Crash(engine, atMs, hasOneSuspect));
  }

  /** Whether a crash is to be counted in the replicated state now. */
  boolean isToBeCounted(long trial) {
    Crash crash = crashes.get(trial);
    return crash != null && !crash.counting && !crash.counted;
  }

  void onCounting(long trial) {
    crashes.get(trial).counting = true;
  }

  void onCountEnded(long trial, boolean isCommitted) {
    Crash crash = crashes.get(trial);
    if (crash != null) {
      crash.counting = false;
      crash.counted = isCommitted;
    }
  }

  boolean isCounting(long trial) {
    Crash crash = crashes.get(trial);
    return crash != null && crash.counting;
  }
}
