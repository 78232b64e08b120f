package io.pathdeck.fleet.member;

import java.util.concurrent.TimeUnit;

/**
 * Tracks whether the view of the fleet is recent enough to be used. Written by one thread, read by
 * any; times are those of {@link System#nanoTime}.
 */
final class ViewFreshness {
  /** How long an answer of the leader confirms the view. */
  static final long CONFIRMATION_VALID_MS = 1_500;

  /**
   * How long a process past its startup may use last-known state: a new leader cannot put a newer
   * configuration in force sooner.
   */
  static final long LAST_KNOWN_VALID_MS = 400;

  /**
   * How long after its start a process may use last-known state that coordinators without a leader
   * repeat. Callers expect the configuration in force 4 s after the start of the machine, which
   * includes the time until the process starts.
   */
  static final long STARTUP_PERIOD_MS = 3_000;

  /**
   * Maximum time between repetitions of last-known state; tolerates one unanswered attempt to
   * report: its timeout of 500 ms, the pause after it, and the interval of reports.
   */
  static final long LAST_KNOWN_REPEAT_TIMEOUT_MS = 700;

  /**
   * How long repeated last-known state may be used after it was first received; covers one
   * election, which starts within 600 ms, its messages, and two reports.
   */
  static final long LAST_KNOWN_MAX_MS = 900;

  /**
   * Maximum age of the latest report that was answered or given up. Longer than two reports that
   * get no answer and the interval between them, so that only a process that did not run exceeds
   * it.
   */
  static final long REPORT_OVERDUE_MS = 3_000;

  private final long processStartNs;
  private volatile Moment lastConfirmed;
  private volatile Moment enginesConfirmed;
  private volatile long firstConfirmedNs;
  private volatile boolean everConfirmed;
  private volatile long lastKnownFirstNs;
  private volatile long lastKnownLatestNs;
  private volatile boolean lastKnownReceived;
  private volatile Moment lastEndedReport;

  /** Creates the state of a process that has received no view yet. */
  ViewFreshness(long processStartNs) {
    this.processStartNs = processStartNs;
  }

  /** Records the answer of the leader to a report. */
  void onLeaderAnswered(Moment sent) {
    lastConfirmed = sent;
    if (!everConfirmed) {
      firstConfirmedNs = sent.steadyNs();
      everConfirmed = true;
    }
  }

  /** Records the answer of a leader that has read the list of engines. */
  void onEnginesConfirmed(Moment sent) {
    enginesConfirmed = sent;
  }

  /** Whether a leader has answered a report that was sent later. */
  boolean isOvertaken(Moment sent) {
    return everConfirmed && sent.isBefore(lastConfirmed);
  }

  /** Records that a report was answered or given up. */
  void onReportEnded(Moment sent) {
    if (lastEndedReport == null || lastEndedReport.isBefore(sent)) {
      lastEndedReport = sent;
    }
  }

  /**
   * Whether no recent report has ended, as after a suspension of the process: changes may have come
   * into force meanwhile, and the coordinators have not been asked since.
   */
  boolean isReportOverdue(Moment now) {
    return lastEndedReport != null && !isWithin(REPORT_OVERDUE_MS, lastEndedReport, now);
  }

  /** Records that a coordinator without a leader sent its last-known state, possibly again. */
  void onLastKnownReceived(long nowNs) {
    lastKnownLatestNs = nowNs;
    if (!lastKnownReceived) {
      lastKnownFirstNs = nowNs;
      lastKnownReceived = true;
    }
  }

  boolean hasLeaderAnswered() {
    return everConfirmed;
  }

  /** Returns the progress of the startup; {@code createdNs} is when the follower was created. */
  StartProgress startProgress(long createdNs, long nowNs) {
    if (everConfirmed) {
      long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNs - firstConfirmedNs);
      return new StartProgress(StartProgress.Phase.LIST_MISSING, ageMs);
    }
    StartProgress.Phase phase =
        lastKnownReceived ? StartProgress.Phase.NO_LEADER : StartProgress.Phase.NO_COORDINATOR;
    long sinceNs = lastKnownReceived ? lastKnownFirstNs : createdNs;
    return new StartProgress(phase, TimeUnit.NANOSECONDS.toMillis(nowNs - sinceNs));
  }

  /** Whether a leader has ever answered, or last-known state is recent enough. */
  boolean isUsable(long nowNs) {
    return everConfirmed || (lastKnownReceived && isLastKnownValid(nowNs));
  }

  private boolean isLastKnownValid(long nowNs) {
    long ageNs = nowNs - lastKnownFirstNs;
    boolean justReceived = ageNs < millisToNanos(LAST_KNOWN_VALID_MS);
    boolean inStartup =
        nowNs - processStartNs < millisToNanos(STARTUP_PERIOD_MS)
            && ageNs < millisToNanos(LAST_KNOWN_MAX_MS);
    boolean repeatedRecently =
        nowNs - lastKnownLatestNs < millisToNanos(LAST_KNOWN_REPEAT_TIMEOUT_MS);
    return justReceived || (inStartup && repeatedRecently);
  }

  /** Whether the leader has answered a report of the last {@link #CONFIRMATION_VALID_MS}. */
  boolean isConfirmed(Moment now) {
    return isConfirmedWithin(CONFIRMATION_VALID_MS, now);
  }

  /** Whether the leader has answered a report that was sent in the last {@code maxAgeMs}. */
  boolean isConfirmedWithin(long maxAgeMs, Moment now) {
    return isWithin(maxAgeMs, lastConfirmed, now);
  }

  /** As {@link #isConfirmedWithin}, of a leader that has read the list of engines. */
  boolean areEnginesConfirmedWithin(long maxAgeMs, Moment now) {
    return isWithin(maxAgeMs, enginesConfirmed, now);
  }

  private static boolean isWithin(long maxAgeMs, Moment event, Moment now) {
    return event != null && event.elapsedNs(now) < millisToNanos(maxAgeMs);
  }

  private static long millisToNanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }
}
