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
 * The one way to engines for all requests and items of a process. Confined to the event loop.
 *
 * <p>It finds out under which of them an engine has ended, and sends none on that is known to end
 * engines: whether a call is a first try, a retry, a resumption or an item, it passes here, so no
 * caller of this class has to ask. Without it one request ended engines 34 times in a fleet of 18,
 * since each try has another id and nothing that one try showed was known to the next.
 */
public final class QuarantiningTransport implements EngineTransport {
  private static final EventLog EVENTS = EventLog.of(QuarantiningTransport.class);
  private static final Handle NOTHING_TO_CANCEL = () -> {};

  private final EngineTransport transport;
  private final EngineLivenessProbe liveness;
  private final EngineCrashReporter reporter;
  private final Executor eventLoop;
  private final Consumer<EngineInstance> onEngineDown;
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final CrashCauseDetector localDetector = new CrashCauseDetector();
  private final Map<String, List<InterruptedRequest>> interruptedByInstance = new HashMap<>();

  /**
   * Watches the calls over {@code transport}.
   *
   * @param eventLoop the thread of all calls
   * @param onEngineDown hears of each engine that has ended, as often as that is noticed
   */
  public QuarantiningTransport(
      EngineTransport transport,
      EngineLivenessProbe liveness,
      EngineCrashReporter reporter,
      Executor eventLoop,
      Consumer<EngineInstance> onEngineDown) {
    this.transport = transport;
    this.liveness = liveness;
    this.reporter = reporter;
    this.eventLoop = eventLoop;
    this.onEngineDown = onEngineDown;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Follows the requests that the fleet holds back. */
  public void updateQuarantine(QuarantineList told) {
    quarantine.update(told);
  }

  @Override
  public Handle start(EngineCall call, EngineListener caller) {
    if (call.hasRequestId() && quarantine.isQuarantined(call, nowMs())) {
      eventLoop.execute(
          () -> caller.onFailure(EngineFailure.QUARANTINED, "engines ended under this request"));
      return NOTHING_TO_CANCEL;
    }
    return transport.start(call, new WatchedCall(call, caller));
  }

  private void onInterrupted(InterruptedRequest request) {
    EngineInstance engine = request.call().engine();
    List<InterruptedRequest> cut = interruptedByInstance.get(engine.lifeId());
    if (cut != null) {
      cut.add(request);
      return;
    }
    interruptedByInstance.put(engine.lifeId(), new ArrayList<>(List.of(request)));
    liveness.check(engine, verdict -> onVerdict(engine, verdict));
  }

  private void onVerdict(EngineInstance engine, Verdict verdict) {
    List<InterruptedRequest> cut = interruptedByInstance.remove(engine.lifeId());
    EVENTS.log(
        EventCode.ENGINE_CHECKED,
        "engine",
        engine.lifeId(),
        "verdict",
        verdict,
        "requests",
        cut.size());
    if (verdict == Verdict.ENDED) {
      onEngineDown.accept(engine);
      recordCrashes(engine, cut);
    }
  }

  private void recordCrashes(EngineInstance engine, List<InterruptedRequest> cut) {
    long nowMs = nowMs();
    List<EngineEnd> ends = new ArrayList<>();
    for (InterruptedRequest request : cut) {
      RequestFingerprint fingerprint = RequestFingerprints.fingerprint(request.call());
      EngineEnd end = new EngineEnd(engine.lifeId(), fingerprint, request.answerBegan());
      logCrash(request.call().requestId(), end);
      localDetector.add(end, nowMs);
      ends.add(end);
    }
    localDetector.expire(nowMs);
    quarantine.addLocal(localDetector.causes(quarantine::isConfirmed), nowMs);
    reporter.reportCrashes(ends);
  }

  private static void logCrash(String requestId, EngineEnd end) {
    EVENTS.log(
        EventCode.ENGINE_ENDED_UNDER_REQUEST,
        "request",
        requestId,
        "fingerprint",
        end.request().shortForm(),
        "engine",
        end.engine(),
        "answer_began",
        end.answerBegan());
  }

  /** A request that was served to its end does not end engines. */
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

  /** Passes on what becomes of a call, and notes when it was cut. */
  private final class WatchedCall implements EngineListener {
    private static final int SUCCESS_FROM = 200;
    private static final int SUCCESS_TO = 300;

    private final EngineCall call;
    private final EngineListener caller;
    private int status;

    WatchedCall(EngineCall call, EngineListener caller) {
      this.call = call;
      this.caller = caller;
    }

    @Override
    public void onHead(EngineResponse answer) {
      status = answer.status();
      caller.onHead(answer);
    }

    @Override
    public void onBody(byte[] part) {
      caller.onBody(part);
    }

    @Override
    public void onEnd() {
      if (call.hasRequestId() && status >= SUCCESS_FROM && status < SUCCESS_TO) {
        onServed(call);
      }
      caller.onEnd();
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure.isLostConnection() && call.hasRequestId()) {
        onInterrupted(new InterruptedRequest(call, status != 0));
      } else if (failure == EngineFailure.CONNECTION_REFUSED && liveness.isDown(call.engine())) {
        onEngineDown.accept(call.engine());
      }
      caller.onFailure(failure, reason);
    }
  }
}
