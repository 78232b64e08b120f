package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Decides when a quarantined request, or one with quarantined parts of prompts, may be sent once,
 * to find out whether it was quarantined by mistake; confined to one thread.
 *
 * <p>A trial is granted to one process for one send, with a lease that the process renews while the
 * call runs. A trial that ends without a verdict, or whose lease runs out, costs nothing and is
 * soon granted anew; a call that was sent and tells nothing may still crash its engine, so that
 * {@value #MAX_CRASHES} at most are under way. Each crash under a trial costs an engine, so after
 * {@value #MAX_CRASHES_ALONE} that nothing else explains, or {@value #MAX_CRASHES} in all, trials
 * become rare. Trials wait for a moment without crashes of other reasons, if one comes soon; the
 * last one before they become rare waits until engines no longer crash.
 *
 * <p>A request has {@value #MAX_TRIALS_OF_REQUEST} trial with a verdict, whoever leads: a new
 * leader learns from the replicated state under how many trials engines crashed. A part has no last
 * trial, since accepted batch items wait for it. It counts once for all services.
 */
public final class QuarantineTrials {
  /** A doubtful request may cost one more engine before it is quarantined for good. */
  static final int MAX_TRIALS_OF_REQUEST = 1;

  /** By then all processes hold the suspect back, and have told when they saw it served. */
  static final long FIRST_DELAY_MS = 4_000;

  static final long DELAY_AFTER_CRASH_MS = 8_000;

  /** Bounds the engines that a part which does crash them costs. */
  static final long MAX_DELAY_MS = 64_000;

  /** So many crashes under trials that nothing else explains are strong evidence. */
  static final int MAX_CRASHES_ALONE = 2;

  /** More crashes under trials are too costly, whatever explains them. */
  static final int MAX_CRASHES = 3;

  /** Engines that crash so close together probably do so for a common reason. */
  static final long CRASHES_TOGETHER_MS = 2_000;

  /** Time without a crash after which a trial meets one of other reasons only by chance. */
  static final long CALM_MS = 1_000;

  static final long MAX_CALM_WAIT_MS = 4_000;

  /** Time without a crash before the last trial that may tell a sound part soon. */
  static final long CALM_BEFORE_LAST_MS = 5_000;

  /** Longer than the time between two renewals, and for a process to send what was granted. */
  static final long LEASE_MS = 2_500;

  static final long MIN_RETRY_DELAY_MS = 500;
  static final long MAX_RETRY_DELAY_MS = 2_000;

  /** Stands for a trial of a process that does not name its trials. */
  static final long NO_TRIAL = 0;

  private final EngineCrashTimes crashTimes = new EngineCrashTimes();
  private final List<SuspectTrials> trialsBySuspect = new ArrayList<>();

  /**
   * Records that a request or part is in quarantine.
   *
   * @param crashed under how many trials that earlier leaders granted engines crashed
   */
  public void onQuarantined(RequestFingerprint suspect, int crashed, long nowMs) {
    SuspectTrials known = find(suspect);
    if (known != null) {
      known.onQuarantined(nowMs);
      return;
    }
    long nextMs = nowMs + firstDelayMs(crashed);
    trialsBySuspect.add(new SuspectTrials(suspect, crashTimes, crashed, nextMs));
  }

  private static long firstDelayMs(int crashed) {
    if (crashed >= MAX_CRASHES) {
      return MAX_DELAY_MS;
    }
    return crashed == MAX_CRASHES - 1 ? DELAY_AFTER_CRASH_MS : FIRST_DELAY_MS;
  }

  public void onReleased(RequestFingerprint suspect) {
    find(List.of(suspect)).forEach(SuspectTrials::onReleased);
  }

  /** Records the crash of any engine; it may be known. */
  public void onEngineCrash(String engine, long atMs) {
    crashTimes.add(engine, atMs);
  }

  /** Grants a trial of one suspect to a process that does not name its trials. */
  public boolean grant(RequestFingerprint suspect, long nowMs) {
    return grant(NO_TRIAL, List.of(suspect), nowMs);
  }

  /**
   * Grants a trial of a call with all these suspects, if each of them may be tried now. A trial
   * that was granted is granted again when it is asked for again, for the answer may be lost.
   */
  public boolean grant(long trial, Collection<RequestFingerprint> suspects, long nowMs) {
    List<SuspectTrials> all = find(suspects);
    boolean mayGrant =
        all.size() == suspects.size()
            && all.stream().allMatch(trials -> trials.mayGrant(trial, nowMs));
    if (mayGrant) {
      all.forEach(trials -> trials.lease(trial, nowMs));
    }
    return mayGrant;
  }

  /** Renews the lease of a trial that was sent. */
  public void onRunning(long trial, Collection<RequestFingerprint> suspects, long nowMs) {
    find(suspects).forEach(trials -> trials.onRunning(trial, nowMs));
  }

  /** Records that the call of a trial was served. */
  public void onServed(long trial, Collection<RequestFingerprint> suspects, long nowMs) {
    find(suspects).forEach(trials -> trials.onServed(trial, nowMs));
  }

  /** Records that a trial is over and tells nothing. */
  public void onNoVerdict(long trial, Collection<RequestFingerprint> suspects, long nowMs) {
    find(suspects).forEach(trials -> trials.onNoVerdict(trial, nowMs));
  }

  /** Records that an engine crashed under a trial; may be repeated. */
  public void onCrashed(
      long trial, Collection<RequestFingerprint> suspects, String engine, long atMs) {
    crashTimes.add(engine, atMs);
    boolean hasOneSuspect = suspects.size() == 1;
    find(suspects).forEach(trials -> trials.onCrashed(trial, engine, atMs, hasOneSuspect));
  }

  /** Whether a crash under a trial is to be counted in the replicated state, which begins now. */
  public boolean beginCount(long trial, RequestFingerprint suspect) {
    SuspectTrials trials = find(suspect);
    boolean begins = trials != null && trials.isToBeCounted(trial);
    if (begins) {
      trials.onCounting(trial);
    }
    return begins;
  }

  /** Records the end of the count; it is repeated if it is not committed. */
  public void endCount(long trial, RequestFingerprint suspect, boolean isCommitted) {
    find(List.of(suspect)).forEach(trials -> trials.onCountEnded(trial, isCommitted));
  }

  /** Whether a crash under a trial is being counted. */
  public boolean isCounting(long trial, Collection<RequestFingerprint> suspects) {
    return find(suspects).stream().anyMatch(trials -> trials.isCounting(trial));
  }

  /** Forgets what had its last trial due before a time. */
  public void expire(long timeMs, long nowMs) {
    crashTimes.expire(nowMs);
    trialsBySuspect.removeIf(trials -> trials.dueMs() < timeMs);
  }

  /** Forgets everything, when this process no longer leads. */
  public void clear() {
    crashTimes.clear();
    trialsBySuspect.clear();
  }

  private List<SuspectTrials> find(Collection<RequestFingerprint> suspects) {
    return suspects.stream().map(this::find).filter(trials -> trials != null).toList();
  }

  private SuspectTrials find(RequestFingerprint suspect) {
    for (SuspectTrials trials : trialsBySuspect) {
      if (trials.isOf(suspect)) {
        return trials;
      }
    }
    return null;
  }
}
