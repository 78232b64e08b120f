package io.pathdeck.fleet.quarantine;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineLivenessProbe;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Verdict;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.TrialState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Transport for all requests and batch items of a process; confined to the event loop.
 *
 * <p>It records the requests that were in progress when an engine crashed, and fails quarantined
 * requests, and those whose prompt has a quarantined part, instead of sending them. All attempts go
 * through this transport, so callers need no check of their own. Requests are identified by their
 * content, because the id changes with each attempt.
 */
public final class QuarantiningTransport implements EngineTransport {
  private static final EventLog EVENTS = EventLog.of(QuarantiningTransport.class);
  private static final String HELD_BACK =
      "engines ended under this request, or under a part of its prompt: ";
  private static final Handle NO_OP_HANDLE = () -> {};

  /**
   * How long after the request for a trial the call may still be sent; only a suspended process
   * exceeds it. Meanwhile the trial may have been granted to another process, and the engine may
   * have become one that must get nothing.
   */
  static final long MAX_GRANT_AGE_MS = 1_000;

  private final EngineTransport transport;
  private final EngineLivenessProbe livenessProbe;
  private final EngineCrashReporter reporter;
  private final CrashRecorder recorder;
  private final Executor eventLoop;
  private final Consumer<EngineInstance> onEngineDown;
  private final Map<String, List<InterruptedRequest>> interruptedByInstance = new HashMap<>();

  /**
   * Creates a transport.
   *
   * @param transport sends the calls
   * @param protocol reads the parts of prompts
   * @param livenessProbe checks engines after lost connections
   * @param reporter reports crashes and completed requests to the leading coordinator
   * @param crashSuspects what may be found to crash engines
   * @param eventLoop runs all calls and callbacks
   * @param onEngineDown called each time an engine is found down
   */
  public QuarantiningTransport(
      EngineTransport transport,
      EngineProtocol protocol,
      EngineLivenessProbe livenessProbe,
      EngineCrashReporter reporter,
      CrashSuspects crashSuspects,
      Executor eventLoop,
      Consumer<EngineInstance> onEngineDown) {
    this.transport = transport;
    this.livenessProbe = livenessProbe;
    this.reporter = reporter;
    this.recorder = new CrashRecorder(protocol, reporter, crashSuspects);
    this.eventLoop = eventLoop;
    this.onEngineDown = onEngineDown;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the sends that this process refused, for its metrics. */
  public HeldBackSends heldBackSends() {
    return recorder.heldBackSends();
  }

  /** Applies the quarantine list of the leading coordinator. */
  public void updateQuarantine(QuarantineList list) {
    recorder.updateQuarantine(list, nowMs());
  }

  /** Applies the parts of prompts that the leading coordinator asks about. */
  public void updateSuspectedParts(List<RequestFingerprint> parts) {
    recorder.updateSuspectedParts(parts, nowMs());
  }

  @Override
  public Handle start(EngineCall call, EngineListener listener) {
    SendDecision decision =
        call.hasRequestId() ? recorder.decide(call, nowMs()) : new SendDecision.Send();
    if (decision instanceof SendDecision.HoldBack holdBack) {
      eventLoop.execute(() -> holdBack(listener, holdBack.cause()));
      return NO_OP_HANDLE;
    }
    if (decision instanceof SendDecision.RequestTrial request) {
      TrialStart start = new TrialStart(nowMs());
      reporter
          .trialReporter()
          .request(
              request.trial(), granted -> onTrialReply(granted, request, start, call, listener));
      return start;
    }
    return transport.start(call, new ObservingListener(call, listener));
  }

  private static void holdBack(EngineListener listener, RequestFingerprint cause) {
    listener.onFailure(EngineFailure.QUARANTINED, HELD_BACK + cause.shortForm());
  }

  private void onTrialReply(
      boolean granted,
      SendDecision.RequestTrial request,
      TrialStart start,
      EngineCall call,
      EngineListener listener) {
    if (granted) {
      onTrialGranted(request.trial(), start, call, listener);
    } else if (!start.isCanceled()) {
      recorder.onHeldBack(request.cause(), nowMs());
      holdBack(listener, request.cause());
    }
  }

  private void onTrialGranted(
      Trial trial, TrialStart start, EngineCall call, EngineListener listener) {
    recorder.onTrialGranted(trial);
    if (start.isCanceled()) {
      reporter.trialReporter().reportNotSent(trial);
    } else if (nowMs() - start.requestedMs() > MAX_GRANT_AGE_MS) {
      reporter.trialReporter().reportNotSent(trial);
      listener.onFailure(EngineFailure.NOT_SENT, "the process was suspended before the trial");
    } else {
      ObservingListener observer = new ObservingListener(call, listener, trial);
      start.onStarted(transport.start(call, observer), observer.trialRun);
    }
  }

  /** Finds out whether an engine that interrupted no request has ended. */
  public void checkEngine(EngineInstance engine) {
    if (!interruptedByInstance.containsKey(engine.lifeId())) {
      livenessProbe.check(engine, result -> onIdleVerdict(engine, result.verdict()));
    }
  }

  private void onIdleVerdict(EngineInstance engine, Verdict verdict) {
    logVerdict(engine, verdict, 0);
    if (verdict.isCrash()) {
      onEngineDown.accept(engine);
    }
  }

  private void onInterrupted(InterruptedRequest request) {
    EngineInstance engine = request.call().engine();
    List<InterruptedRequest> interrupted = interruptedByInstance.get(engine.lifeId());
    if (interrupted != null) {
      interrupted.add(request);
      return;
    }
    interruptedByInstance.put(engine.lifeId(), new ArrayList<>(List.of(request)));
    livenessProbe.check(engine, result -> onVerdict(engine, result.verdict()));
  }

  private void onVerdict(EngineInstance engine, Verdict verdict) {
    List<InterruptedRequest> interrupted = interruptedByInstance.remove(engine.lifeId());
    logVerdict(engine, verdict, interrupted.size());
    if (verdict.isCrash()) {
      onCrash(engine, interrupted);
    }
    interrupted.forEach(request -> endTrial(request, verdict));
  }

  private static void endTrial(InterruptedRequest request, Verdict verdict) {
    TrialState outcome = verdict.isCrash() ? TrialState.CRASHED : TrialState.NO_VERDICT;
    request.trialRun().ifPresent(run -> run.end(outcome, "engine " + verdict, nowMs()));
  }

  private static void logVerdict(EngineInstance engine, Verdict verdict, int requests) {
    EVENTS.log(
        EventCode.ENGINE_CHECKED,
        "engine",
        engine.lifeId(),
        "verdict",
        verdict,
        "requests",
        requests);
  }

  private void onCrash(EngineInstance engine, List<InterruptedRequest> interrupted) {
    onEngineDown.accept(engine);
    recorder.onCrash(engine, interrupted, nowMs());
  }

  /** Forwards the events of a call to its listener; handles completion and lost connections. */
  private final class ObservingListener implements EngineListener {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;

    private final EngineCall call;
    private final EngineListener listener;
    private final long startedMs = nowMs();
    private final long startedUnixMs = System.currentTimeMillis();
    private final ResponseProgress progress = new ResponseProgress();
    private int status;
    private boolean notRun;
    private final Optional<TrialRun> trialRun;
    private long closedAtMs;

    ObservingListener(EngineCall call, EngineListener listener) {
      this.call = call;
      this.listener = listener;
      this.trialRun = Optional.empty();
    }

    ObservingListener(EngineCall call, EngineListener listener, Trial trial) {
      this.call = call;
      this.listener = listener;
      this.trialRun = Optional.of(new TrialRun(trial, call, progress, reporter, startedMs));
    }

    private void endTrial(TrialState outcome, String reason) {
      trialRun.ifPresent(run -> run.end(outcome, reason, nowMs()));
    }

    @Override
    public boolean checksEvents() {
      return listener.checksEvents();
    }

    @Override
    public void onHead(EngineResponse response) {
      status = response.status();
      notRun = response.notRun();
      listener.onHead(response);
    }

    @Override
    public void onBody(byte[] part) {
      long nowMs = nowMs();
      if (progress.onPiece(nowMs) && call.hasRequestId() && isSuccess()) {
        recorder.onSustainedResponse(call, nowMs);
        trialRun.ifPresent(run -> run.onSustainedResponse(nowMs));
      }
      listener.onBody(part);
    }

    @Override
    public void onEnd() {
      recordServed();
      endTrial(TrialState.NO_VERDICT, "status " + status);
      listener.onEnd();
    }

    private void recordServed() {
      if (call.hasRequestId() && isSuccess()) {
        recorder.onServed(call, nowMs());
        endTrial(TrialState.SERVED, "complete");
      }
    }

    private boolean isSuccess() {
      return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
    }

    private InterruptedRequest interrupted() {
      return new InterruptedRequest(call, status != 0, progress, startedMs, closedAtMs, trialRun);
    }

    /** Takes the response for complete only if the engine has not crashed. */
    @Override
    public void onClose() {
      closedAtMs = nowMs();
      if (notRun) {
        endTrial(TrialState.NO_VERDICT, "status " + status);
        listener.onEnd();
        return;
      }
      trialRun.ifPresent(TrialRun::awaitCheckOfEngine);
      livenessProbe.check(call.engine(), this::onResultAfterClose);
    }

    /**
     * A life of the engine that began under the call has not answered it. One that began before may
     * still be missing in the list of engines.
     */
    private void onResultAfterClose(EngineLivenessProbe.Result result) {
      if (result.hasRunSince(startedUnixMs)) {
        if (progress.pieces() > 0) {
          recordServed();
        }
        endTrial(TrialState.NO_VERDICT, "status " + status);
        listener.onEndByClose();
        return;
      }
      if (result.verdict().isCrash() && call.hasRequestId()) {
        onCrash(call.engine(), List.of(interrupted()));
      }
      QuarantiningTransport.endTrial(interrupted(), result.verdict());
      listener.onFailure(
          EngineFailure.CONNECTION_ENDED,
          "the connection closed under an answer without length; engine " + result.verdict());
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      closedAtMs = nowMs();
      if (notRun && failure.isLostConnection()) {
        // The head of a refusal says all; its body is not used.
        endTrial(TrialState.NO_VERDICT, "status " + status);
        listener.onEnd();
        return;
      }
      if (failure.isLostConnection() && call.hasRequestId()) {
        trialRun.ifPresent(TrialRun::awaitCheckOfEngine);
        onInterrupted(interrupted());
        listener.onFailure(failure, reason);
        return;
      }
      endTrial(TrialState.NO_VERDICT, reason);
      if (failure == EngineFailure.CONNECTION_REFUSED
          && livenessProbe.isDownAfterRefusal(call.engine())) {
        onEngineDown.accept(call.engine());
      }
      listener.onFailure(failure, reason);
    }
  }
}
