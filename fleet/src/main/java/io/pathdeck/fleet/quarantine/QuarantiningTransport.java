package io.pathdeck.fleet.quarantine;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineLivenessProbe;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Verdict;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Transport for all requests and batch items of a process; confined to the event loop.
 *
 * <p>It detects under which requests engines crash, and does not send requests that are known to
 * crash engines. First attempts, retries, resumptions and items all pass here, so callers need not
 * check. Requests are recognized by their content, since each attempt has another id.
 */
public final class QuarantiningTransport implements EngineTransport {
  private static final EventLog EVENTS = EventLog.of(QuarantiningTransport.class);
  private static final Handle NOTHING_TO_CANCEL = () -> {};

  private final EngineTransport transport;
  private final EngineLivenessProbe livenessProbe;
  private final EngineCrashReporter reporter;
  private final Executor eventLoop;
  private final Consumer<EngineInstance> onEngineDown;
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final CrashCauseDetector localDetector = new CrashCauseDetector();
  private final Map<String, List<InterruptedRequest>> interruptedByInstance = new HashMap<>();

  /**
   * Creates a transport that sends calls over {@code transport}.
   *
   * @param eventLoop the thread of all calls
   * @param onEngineDown called for each engine that is down, whenever that is noticed
   */
  public QuarantiningTransport(
      EngineTransport transport,
      EngineLivenessProbe livenessProbe,
      EngineCrashReporter reporter,
      Executor eventLoop,
      Consumer<EngineInstance> onEngineDown) {
    this.transport = transport;
    this.livenessProbe = livenessProbe;
    this.reporter = reporter;
    this.eventLoop = eventLoop;
    this.onEngineDown = onEngineDown;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Applies the list of requests that the fleet has quarantined. */
  public void updateQuarantine(QuarantineList list) {
    quarantine.update(list);
  }

  @Override
  public Handle start(EngineCall call, EngineListener listener) {
    if (call.hasRequestId() && quarantine.isQuarantined(call, nowMs())) {
      eventLoop.execute(
          () -> listener.onFailure(EngineFailure.QUARANTINED, "engines ended under this request"));
      return NOTHING_TO_CANCEL;
    }
    return transport.start(call, new WatchedCall(call, listener));
  }

  private void onInterrupted(InterruptedRequest request) {
    EngineInstance engine = request.call().engine();
    List<InterruptedRequest> interrupted = interruptedByInstance.get(engine.lifeId());
    if (interrupted != null) {
      interrupted.add(request);
      return;
    }
    interruptedByInstance.put(engine.lifeId(), new ArrayList<>(List.of(request)));
    livenessProbe.check(engine, verdict -> onVerdict(engine, verdict));
  }

  private void onVerdict(EngineInstance engine, Verdict verdict) {
    List<InterruptedRequest> interrupted = interruptedByInstance.remove(engine.lifeId());
    EVENTS.log(
        EventCode.ENGINE_CHECKED,
        "engine",
        engine.lifeId(),
        "verdict",
        verdict,
        "requests",
        interrupted.size());
    if (verdict == Verdict.ENDED) {
      onEngineDown.accept(engine);
      recordCrashes(engine, interrupted);
    }
  }

  private void recordCrashes(EngineInstance engine, List<InterruptedRequest> interrupted) {
    long nowMs = nowMs();
    List<EngineEnd> crashes = new ArrayList<>();
    for (InterruptedRequest request : interrupted) {
      RequestFingerprint fingerprint = RequestFingerprints.fingerprint(request.call());
      EngineEnd crash = new EngineEnd(engine.lifeId(), fingerprint, request.answerBegan());
      logCrash(request.call().requestId(), crash);
      localDetector.add(crash, nowMs);
      crashes.add(crash);
    }
    localDetector.expire(nowMs);
    quarantine.addLocal(localDetector.causes(quarantine::isConfirmed), nowMs);
    reporter.reportCrashes(crashes);
  }

  private static void logCrash(String requestId, EngineEnd crash) {
    EVENTS.log(
        EventCode.ENGINE_ENDED_UNDER_REQUEST,
        "request",
        requestId,
        "fingerprint",
        crash.request().shortForm(),
        "engine",
        crash.engine(),
        "answer_began",
        crash.answerBegan());
  }

  /** A request that completes does not crash engines. */
  private void onServed(EngineCall call) {
    if (localDetector.isEmpty() || !localDetector.mayContain(RequestFingerprints.outline(call))) {
      return;
    }
    RequestFingerprint request = RequestFingerprints.fingerprint(call);
    if (localDetector.contains(request)) {
      localDetector.clear(request);
      reporter.reportServed(request);
    }
  }

  /** Passes on the events of a call, and handles the loss of its connection. */
  private final class WatchedCall implements EngineListener {
    private static final int SUCCESS_FROM = 200;
    private static final int SUCCESS_TO = 300;

    private final EngineCall call;
    private final EngineListener listener;
    private int status;

    WatchedCall(EngineCall call, EngineListener listener) {
      this.call = call;
      this.listener = listener;
    }

    @Override
    public void onHead(EngineResponse response) {
      status = response.status();
      listener.onHead(response);
    }

    @Override
    public void onBody(byte[] part) {
      listener.onBody(part);
    }

    @Override
    public void onEnd() {
      if (call.hasRequestId() && status >= SUCCESS_FROM && status < SUCCESS_TO) {
        onServed(call);
      }
      listener.onEnd();
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure.isLostConnection() && call.hasRequestId()) {
        onInterrupted(new InterruptedRequest(call, status != 0));
      } else if (failure == EngineFailure.CONNECTION_REFUSED
          && livenessProbe.isDown(call.engine())) {
        onEngineDown.accept(call.engine());
      }
      listener.onFailure(failure, reason);
    }
  }
}
