package io.pathdeck.fleet.quarantine;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.TrialState;

/** A trial that was sent to an engine; ends once, with an outcome. Confined to the event loop. */
final class TrialRun {
  private static final EventLog EVENTS = EventLog.of(TrialRun.class);

  /** A call that tells nothing in this time no longer keeps others from being tried. */
  private static final long MAX_VERDICT_MS = 5_000;

  private final Trial trial;
  private final EngineCrashReporter reporter;
  private final EngineCall call;
  private final long startedMs;
  private final ResponseProgress progress;
  private boolean checkingEngine;
  private boolean ended;

  TrialRun(
      Trial trial,
      EngineCall call,
      ResponseProgress progress,
      EngineCrashReporter reporter,
      long nowMs) {
    this.trial = trial;
    this.reporter = reporter;
    this.call = call;
    this.progress = progress;
    this.startedMs = nowMs;
    reporter.trialReporter().reportRunning(trial, call.engine().lifeId(), this::awaitsVerdict);
  }

  /** Whether the outcome is open and may soon be known. */
  boolean awaitsVerdict(long nowMs) {
    return !ended && nowMs - startedMs < MAX_VERDICT_MS;
  }

  /** Records that the engine has been writing the response for long enough. */
  void onSustainedResponse(long nowMs) {
    if (!trial.isOfRequest()) {
      end(TrialState.SERVED, "sustained", nowMs);
    }
  }

  /** Records that the connection is lost, so that a check of the engine tells the outcome. */
  void awaitCheckOfEngine() {
    checkingEngine = true;
  }

  /** Ends the trial because the call was canceled, unless the outcome is about to be known. */
  void cancel(long nowMs) {
    if (!checkingEngine) {
      end(TrialState.NO_VERDICT, "canceled", nowMs);
    }
  }

  /** Ends the trial; no effect if it has ended. */
  void end(TrialState outcome, String reason, long nowMs) {
    if (ended) {
      return;
    }
    ended = true;
    reporter.trialReporter().reportOutcome(trial, outcome, call.engine().lifeId(), nowMs);
    reporter.heldBackSends().onTrialEnded(trial.suspects(), outcome);
    EVENTS.log(
        EventCode.QUARANTINE_TRIAL_ENDED,
        "trial",
        Long.toHexString(trial.id()),
        "fingerprints",
        trial.suspects().stream().map(RequestFingerprint::shortForm).toList(),
        "outcome",
        outcome,
        "reason",
        reason,
        "request",
        call.requestId(),
        "engine",
        call.engine().lifeId(),
        "took_ms",
        nowMs - startedMs,
        "writing_ms",
        progress.writingMs());
  }
}
