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
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The way to engines for all requests and items of a process: finds out under which of them an
 * engine has ended. Confined to the event loop.
 */
public final class EngineEndWatch implements EngineTransport {
  private static final EventLog EVENTS = EventLog.of(EngineEndWatch.class);

  private final EngineTransport transport;
  private final EngineLiveness liveness;
  private final BiConsumer<EngineInstance, List<CutRequest>> listener;
  private final Map<String, List<CutRequest>> undecided = new HashMap<>();

  /**
   * Watches the calls over {@code transport}.
   *
   * @param listener hears of each engine that has ended, and of the requests that were under way
   */
  public EngineEndWatch(
      EngineTransport transport,
      EngineLiveness liveness,
      BiConsumer<EngineInstance, List<CutRequest>> listener) {
    this.transport = transport;
    this.liveness = liveness;
    this.listener = listener;
  }

  @Override
  public Handle start(EngineCall call, EngineListener caller) {
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
      cut.forEach(EngineEndWatch::logEnd);
      listener.accept(engine, cut);
    }
  }

  private static void logEnd(CutRequest request) {
    EVENTS.log(
        EventCode.ENGINE_ENDED_UNDER_REQUEST,
        "request",
        request.call().requestId(),
        "fingerprint",
        RequestContent.fingerprint(request.call()).shortForm(),
        "engine",
        request.call().engine().lifeId(),
        "answer_began",
        request.answerBegan());
  }

  /** Passes on what becomes of a call, and notes when it was cut. */
  private final class WatchedCall implements EngineListener {
    private final EngineCall call;
    private final EngineListener caller;
    private boolean answerBegan;

    WatchedCall(EngineCall call, EngineListener caller) {
      this.call = call;
      this.caller = caller;
    }

    @Override
    public void onHead(EngineAnswer answer) {
      answerBegan = true;
      caller.onHead(answer);
    }

    @Override
    public void onBody(byte[] part) {
      caller.onBody(part);
    }

    @Override
    public void onEnd() {
      caller.onEnd();
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure.isLostConnection()) {
        onCut(new CutRequest(call, answerBegan));
      }
      caller.onFailure(failure, reason);
    }
  }
}
