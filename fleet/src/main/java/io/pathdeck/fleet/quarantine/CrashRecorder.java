package io.pathdeck.fleet.quarantine;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Records the calls of this process that crashes interrupted and those that were served, reports
 * both to the leading coordinator, and knows which calls are quarantined; confined to the event
 * loop.
 */
final class CrashRecorder {
  private static final EventLog EVENTS = EventLog.of(CrashRecorder.class);

  /** Bounds the memory and messages that one request with many parts may cause. */
  private static final int MAX_PROMPT_PARTS = 16;

  private final EngineProtocol protocol;
  private final EngineCrashReporter reporter;
  private final CrashSuspects crashSuspects;
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final CrashCauseDetector localDetector = new CrashCauseDetector();
  private final PendingTrials pendingTrials = new PendingTrials();
  private final ServedPromptParts servedParts = new ServedPromptParts();
  private Set<RequestFingerprint> suspectedParts = Set.of();

  CrashRecorder(
      EngineProtocol protocol, EngineCrashReporter reporter, CrashSuspects crashSuspects) {
    this.protocol = protocol;
    this.reporter = reporter;
    this.crashSuspects = crashSuspects;
    reporter.setCrashesReportedListener(quarantine::onCrashesReported);
  }

  HeldBackSends heldBackSends() {
    return reporter.heldBackSends();
  }

  /** Decides whether a call may be sent, perhaps as a trial. */
  SendDecision decide(EngineCall call, long nowMs) {
    List<RequestFingerprint> causes =
        quarantine.find(call, this::fingerprint, this::promptParts, nowMs);
    if (causes.isEmpty()) {
      return new SendDecision.Send();
    }
    RequestFingerprint cause = causes.get(0);
    if (causes.stream().allMatch(quarantine::isConfirmed)) {
      Optional<Trial> trial = pendingTrials.toRequest(Set.copyOf(causes), nowMs);
      if (trial.isPresent()) {
        return new SendDecision.RequestTrial(trial.get(), cause);
      }
    }
    onHeldBack(cause, nowMs);
    return new SendDecision.HoldBack(cause);
  }

  /** Records that a call was not sent. */
  void onHeldBack(RequestFingerprint cause, long nowMs) {
    reporter.heldBackSends().onRefused(cause, nowMs);
  }

  /** Records that a trial was granted. */
  void onTrialGranted(Trial trial) {
    pendingTrials.onGranted(trial);
  }

  /**
   * Applies the quarantine list of the leading coordinator, and tells it which of the parts that
   * are new there this process has seen served.
   */
  void updateQuarantine(QuarantineList list, long nowMs) {
    reporter.heldBackSends().retain(Set.copyOf(list.requests()));
    pendingTrials.retain(Set.copyOf(list.requests()));
    quarantine.update(list).stream()
        .filter(RequestFingerprint::isPromptPart)
        .forEach(part -> reportLastServed(part, nowMs));
  }

  /** Tells the leading coordinator which suspected parts this process has seen served. */
  void updateSuspectedParts(List<RequestFingerprint> parts, long nowMs) {
    if (parts.isEmpty() && suspectedParts.isEmpty()) {
      return;
    }
    Set<RequestFingerprint> added = new HashSet<>(parts);
    added.removeAll(suspectedParts);
    suspectedParts = Set.copyOf(parts);
    added.forEach(part -> reportLastServed(part, nowMs));
  }

  private void reportLastServed(RequestFingerprint part, long nowMs) {
    servedParts.lastServedMs(part, nowMs).ifPresent(atMs -> reportServed(part, atMs));
  }

  private void reportServed(RequestFingerprint fingerprint, long atMs) {
    localDetector.onServed(fingerprint, atMs);
    reporter.reportServed(fingerprint, atMs);
  }

  /** Records the crash of an engine and the calls that it interrupted. */
  void onCrash(EngineInstance engine, List<InterruptedRequest> interrupted, long nowMs) {
    List<EngineEnd> crashes = new ArrayList<>();
    Set<RequestFingerprint> parts = new LinkedHashSet<>();
    for (InterruptedRequest request : interrupted) {
      EngineEnd crash = describe(engine, request, nowMs);
      logCrash(request, crash);
      localDetector.add(crash, nowMs);
      crashes.add(crash);
      parts.addAll(promptParts(request.call()));
    }
    reporter.reportCrashes(crashes, nowMs);
    parts.forEach(part -> reportLastServed(part, nowMs));
    localDetector.expire(nowMs);
    quarantine.addLocal(localCauses(nowMs), nowMs);
  }

  private EngineEnd describe(EngineInstance engine, InterruptedRequest request, long nowMs) {
    return new EngineEnd(
        engine.lifeId(),
        fingerprint(request.call()),
        request.responseStarted(),
        suspectedParts(request),
        request.atMs() - request.startedMs(),
        nowMs - request.atMs());
  }

  /**
   * The parts that may have crashed the engine of a request. A part crashes engines that begin to
   * write a response on it, so there is none if the response had gone on for some time.
   */
  private List<RequestFingerprint> suspectedParts(InterruptedRequest request) {
    return request.progress().isSustained() ? List.of() : promptParts(request.call());
  }

  /**
   * The causes that this process identified itself. Those that are parts of prompts count only
   * while the leader is away, because this process sees a part of the crashes and successes.
   */
  private List<RequestFingerprint> localCauses(long nowMs) {
    boolean leaderAway = reporter.isLeaderAway(nowMs);
    return localDetector.causes(quarantine::isConfirmed).stream()
        .filter(cause -> leaderAway || !cause.isPromptPart())
        .toList();
  }

  private static void logCrash(InterruptedRequest request, EngineEnd crash) {
    EVENTS.log(
        EventCode.ENGINE_ENDED_UNDER_REQUEST,
        "request",
        request.call().requestId(),
        "fingerprint",
        crash.request().shortForm(),
        "engine",
        crash.engine(),
        "answer_began",
        crash.answerBegan(),
        "ran_ms",
        crash.ranMs(),
        "writing_ms",
        request.progress().writingMs(),
        "pieces",
        request.progress().pieces(),
        "prompt_parts",
        crash.promptParts().stream().map(RequestFingerprint::shortForm).toList());
  }

  private RequestFingerprint fingerprint(EngineCall call) {
    RequestFingerprint request = RequestFingerprints.fingerprint(call);
    return crashSuspects == CrashSuspects.PROMPT_PARTS
        ? RequestFingerprint.ofBatchItem(request)
        : request;
  }

  /** The parts of a call's prompt that may be the cause of a crash. */
  private List<RequestFingerprint> promptParts(EngineCall call) {
    return protocol.sharedPromptParts(call).stream()
        .limit(MAX_PROMPT_PARTS)
        .map(part -> RequestFingerprints.ofPromptPart(call.engine().service(), part))
        .toList();
  }

  private boolean isSuspect(RequestFingerprint part) {
    return suspectedParts.contains(part)
        || localDetector.contains(part)
        || quarantine.contains(part);
  }

  /** Records that a call was served to its end, so that nothing in it crashes engines. */
  void onServed(EngineCall call, long nowMs) {
    onPartsServed(call, nowMs);
    if (!localDetector.mayContain(RequestFingerprints.outline(call))) {
      return;
    }
    RequestFingerprint request = fingerprint(call);
    if (localDetector.contains(request)) {
      reportServed(request, nowMs);
    }
  }

  /**
   * Records that an engine has been writing the response of a call for so long that no part of its
   * prompt crashes engines. The request itself may still do so.
   */
  void onSustainedResponse(EngineCall call, long nowMs) {
    onPartsServed(call, nowMs);
  }

  private void onPartsServed(EngineCall call, long nowMs) {
    for (RequestFingerprint part : promptParts(call)) {
      servedParts.onServed(part, nowMs);
      if (isSuspect(part)) {
        reportServed(part, nowMs);
      }
    }
  }
}
