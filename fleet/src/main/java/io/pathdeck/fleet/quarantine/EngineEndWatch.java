package io.pathdeck.fleet.quarantine;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.EngineAnswer;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineLiveness;
import io.pathdeck.fleet.engine.EngineLiveness.Verdict;
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
public final class EngineEndWatch implements EngineTransport {
  private static final EventLog EVENTS = EventLog.of(EngineEndWatch.class);
  private static final Handle NOTHING_TO_CANCEL = () -> {};

  private final EngineTransport transport;
  private final EngineLiveness liveness;
  private final EngineEndReporter reporter;
  private final Executor eventLoop;
  private final Consumer<EngineInstance> onEnded;
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final EngineEndLedger ownLedger = new EngineEndLedger();
  private final Map<String, List<CutRequest>> undecided = new HashMap<>();

  /**
   * Watches the calls over {@code transport}.
   *
   * @param eventLoop the thread of all calls
   * @param onEnded hears of each engine that has ended, as often as that is noticed
   */
  public EngineEndWatch(
      EngineTransport transport,
      EngineLiveness liveness,
      EngineEndReporter reporter,
      Executor eventLoop,
      Consumer<EngineInstance> onEnded) {
    this.transport = transport;
    this.liveness = liveness;
    this.reporter = reporter;
    this.eventLoop = eventLoop;
    this.onEnded = onEnded;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Follows the requests that the fleet holds back. */
  public void follow(QuarantineList told) {
    quarantine.follow(told);
  }

  @Override
  public Handle start(EngineCall call, EngineListener caller) {
    if (call.isOfRequest() && quarantine.holds(call, nowMs())) {
      eventLoop.execute(
          () -> caller.onFailure(EngineFailure.QUARANTINED, "engines ended under this request"));
      return NOTHING_TO_CANCEL;
    }
    return transport.start(call, new WatchedCall(call, caller));
  }

  private void onCut(CutRequest request) {
    EngineInstance engine = request.call().engine();
    List<CutRequest> cut = undecided.get(engine.lifeId());
    if (cut != null) {
      cut.add(request);
      return;
    }
    undecided.put(engine.lifeId(), new ArrayList<>(List.of(request)));
    liveness.check(engine, verdict -> onVerdict(engine, verdict));
  }

  private void onVerdict(EngineInstance engine, Verdict verdict) {
    List<CutRequest> cut = undecided.remove(engine.lifeId());
    EVENTS.log(
        EventCode.ENGINE_CHECKED,
        "engine",
        engine.lifeId(),
        "verdict",
        verdict,
        "requests",
        cut.size());
    if (verdict == Verdict.ENDED) {
      onEnded.accept(engine);
      noteEnds(engine, cut);
    }
  }

  private void noteEnds(EngineInstance engine, List<CutRequest> cut) {
    long nowMs = nowMs();
    List<EngineEnd> ends = new ArrayList<>();
    for (CutRequest request : cut) {
      RequestFingerprint fingerprint = RequestContent.fingerprint(request.call());
      EngineEnd end = new EngineEnd(engine.lifeId(), fingerprint, request.answerBegan());
      logEnd(request.call().requestId(), end);
      ownLedger.note(end, nowMs);
      ends.add(end);
    }
    ownLedger.expire(nowMs);
    quarantine.addOwn(ownLedger.causes(quarantine::contains), nowMs);
    reporter.ended(ends);
  }

  private static void logEnd(String requestId, EngineEnd end) {
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
    if (ownLedger.isEmpty() || !ownLedger.mayKnow(RequestContent.outline(call))) {
      return;
    }
    RequestFingerprint request = RequestContent.fingerprint(call);
    if (ownLedger.knows(request)) {
      ownLedger.clear(request);
      reporter.served(request);
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
    public void onHead(EngineAnswer answer) {
      status = answer.status();
      caller.onHead(answer);
    }

    @Override
    public void onBody(byte[] part) {
      caller.onBody(part);
    }

    @Override
    public void onEnd() {
      if (call.isOfRequest() && status >= SUCCESS_FROM && status < SUCCESS_TO) {
        onServed(call);
      }
      caller.onEnd();
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure.isLostConnection() && call.isOfRequest()) {
        onCut(new CutRequest(call, status != 0));
      } else if (failure == EngineFailure.CONNECTION_REFUSED && liveness.isGone(call.engine())) {
        onEnded.accept(call.engine());
      }
      caller.onFailure(failure, reason);
    }
  }
}
