package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.ResponseMemory;
import io.pathdeck.fleet.engine.SseEventScanner;
import io.pathdeck.serving.http.HttpExchange;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to serve a request at one engine; confined to the event loop.
 *
 * <p>It passes nothing on before the first event of its stream, so that an engine that sends none
 * leaves no trace in the response.
 */
final class Attempt implements EngineListener {
  /**
   * How long a stream may go on without an event while other bytes arrive. Callers leave sooner if
   * they wait for one.
   */
  static final long MAX_EVENT_GAP_MS = 2_000;

  /** A buffer may be twice as large as its content. */
  private static final int BUFFER_RATIO = 2;

  private static final byte[] NOTHING = new byte[0];

  /** Gets the outcome of an attempt, at most one. */
  interface Owner {
    /** The response to the caller is complete. */
    void onServed(Attempt attempt);

    /** The engine answered with an error. */
    void onErrorResponse(Attempt attempt, EngineResponse response, byte[] body);

    /** The attempt brought no complete response. */
    void onFailed(Attempt attempt, EngineFailure failure, String reason);

    /** The gateway has no memory left for the response; the attempt has to be canceled. */
    void onMemoryExhausted();

    /** The caller reads too slowly; the attempt has to be canceled. */
    void onCallerTooSlow();
  }

  private final ForwardingContext context;
  private final ForwardedRequest request;
  private final StreamBinding binding;
  private final CallerResponse callerResponse;
  private final Owner owner;
  private final boolean isStream;
  private final long resumedAfter;
  private final AttemptTracker tracker;
  private final SseEventScanner scanner;
  private final BufferedResponse body;
  private final ResponseMemory.Reservation memory;
  private final ResponseFlowControl flowControl;
  private EngineTransport.Handle handle;
  private EngineResponse response;
  private long lastProgressMs;
  private long lastEventMs;
  private boolean hasEvents;
  private boolean ended;

  Attempt(
      ForwardingContext context,
      ForwardedRequest request,
      StreamBinding binding,
      CallerResponse callerResponse,
      Owner owner,
      Placement placement,
      long nowMs) {
    this.context = context;
    this.request = request;
    this.binding = binding;
    this.callerResponse = callerResponse;
    this.owner = owner;
    this.isStream = request.isStream();
    this.tracker = new AttemptTracker(placement, nowMs);
    this.resumedAfter = callerResponse.lastEventId();
    this.scanner = new SseEventScanner(resumedAfter);
    this.body = new BufferedResponse(request.exchange().memory());
    this.memory = context.responseMemory().open(this::onMemoryEvicted);
    this.flowControl = new ResponseFlowControl(request.exchange(), context.metrics().memory());
    this.lastProgressMs = nowMs;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  EngineState engine() {
    return tracker.engine();
  }

  AttemptTracker tracker() {
    return tracker;
  }

  /** The status that the engine sent; 0 if none. */
  int status() {
    return response == null ? 0 : response.status();
  }

  /** The event after which the engine was asked to go on; -1 if it was asked for the whole. */
  long resumedAfter() {
    return resumedAfter;
  }

  void start() {
    tracker.begin();
    context.callStartListener().run();
    EngineCall call = request.callTo(engine().instance(), resumedAfter, lastProgressMs);
    handle = context.transport().start(call, this);
    flowControl.attach(handle);
  }

  SilenceTimeout.Silence silence(long nowMs) {
    return new SilenceTimeout.Silence(
        request.call().promptTokens(),
        response != null,
        nowMs - lastProgressMs,
        engine().silenceMs(nowMs));
  }

  /** Whether bytes of a stream have arrived for too long without an event. */
  boolean lacksEvents(long nowMs) {
    return response != null
        && response.isSuccess()
        && isStream
        && nowMs - lastEventMs > MAX_EVENT_GAP_MS;
  }

  /** Returns whether reading is paused for a slow caller; resumes it if possible. */
  boolean isReadPaused(long nowMs) {
    boolean paused = flowControl.isPaused();
    if (paused && flowControl.update(nowMs)) {
      lastProgressMs = nowMs;
      lastEventMs = nowMs;
    }
    return paused && flowControl.isPaused();
  }

  /** Handles that the caller has taken a part of the stream. */
  void onPartWritten(long nowMs) {
    updateMemory();
    isReadPaused(nowMs);
  }

  private void recordProgress() {
    lastProgressMs = nowMs();
    tracker.onDataReceived(lastProgressMs);
  }

  @Override
  public boolean checksEvents() {
    return isStream;
  }

  @Override
  public void onHead(EngineResponse head) {
    if (ended) {
      return;
    }
    recordProgress();
    long prefillTokensPerMs = context.settings().prefillTokensPerMs();
    long waitMs = tracker.onHead(prefillTokensPerMs, head, lastProgressMs);
    context.silenceTimeout().onFirstBytes(waitMs);
    context.dispatcher().onFirstBytes(request.service(), tracker);
    response = head;
    lastEventMs = lastProgressMs;
  }

  @Override
  public void onBody(byte[] part) {
    if (ended) {
      return;
    }
    recordProgress();
    if (response.isSuccess() && isStream) {
      passOn(part);
    } else {
      hold(part);
    }
    updateMemory();
  }

  private void passOn(byte[] part) {
    byte[] events = scanner.feed(part);
    if (scanner.hasAdvanced()) {
      hasEvents = true;
      lastEventMs = lastProgressMs;
      binding.onEvents(engine().instance());
      tracker.onEvent(scanner.lastId(), lastProgressMs);
    }
    if (!hasEvents) {
      hold(events);
    } else if (pass(events)) {
      flowControl.update(lastProgressMs);
    }
    if (!ended && scanner.problem() != null) {
      abandon(scanner.problem());
    }
  }

  /** Counts what this process holds of the response. */
  private void updateMemory() {
    if (!ended) {
      memory.resize((long) BUFFER_RATIO * body.size() + scanner.capacity() + unsentBytes());
    }
  }

  /** The bytes that wait for the caller, unless they count against the memory of callers. */
  private int unsentBytes() {
    HttpExchange exchange = request.exchange();
    return exchange.memory().limitsResponses() ? 0 : exchange.pendingBytes();
  }

  private void onMemoryEvicted() {
    if (ended) {
      request.exchange().forceClose();
    } else if (unsentBytes() > body.size() + scanner.capacity()) {
      owner.onCallerTooSlow();
    } else {
      abandon("the responses of engines take too much memory");
    }
  }

  /** Keeps a part of the body until it is known whether the caller gets it. */
  private void hold(byte[] part) {
    switch (body.add(part)) {
      case TOO_LONG -> abandon("the response is too long");
      case NO_MEMORY -> owner.onMemoryExhausted();
      default -> {}
    }
  }

  /** Passes events on, after the bytes held before them; returns whether the caller takes them. */
  private boolean pass(byte[] events) {
    callerResponse.takeHead(engine(), response, lastProgressMs);
    boolean written = callerResponse.write(body.drain(events), scanner.lastId());
    if (!written) {
      owner.onCallerTooSlow();
    }
    return written;
  }

  @Override
  public void onEnd() {
    if (!ended) {
      end();
      onEnd(false);
    }
  }

  /** An engine that stopped before the first event of a new stream would end it in the same way. */
  @Override
  public void onEndByClose() {
    if (!ended) {
      end();
      onEnd(true);
    }
  }

  private void onEnd(boolean byClose) {
    if (!response.isSuccess()) {
      owner.onErrorResponse(this, response, body.copy());
    } else if (!isStream) {
      callerResponse.takeHead(engine(), response, nowMs());
      owner.onServed(this);
      byte[] whole = body.take();
      holdUntilSent(whole.length);
      callerResponse.send(whole);
    } else if (scanner.hasPartialEvent()) {
      failStream("the stream ended inside an event");
    } else if (byClose && !hasEvents && resumedAfter < 0) {
      failStream("the connection closed before the first event");
    } else if (pass(NOTHING)) {
      tracker.onStreamCompleted(nowMs());
      owner.onServed(this);
      holdUntilSent(unsentBytes());
      callerResponse.endStream();
    }
  }

  /** Counts what is left of a complete response until the caller has taken it. */
  void holdUntilSent(long bytes) {
    HttpExchange exchange = request.exchange();
    if (!exchange.memory().limitsResponses()) {
      memory.resize(bytes);
      exchange.setSentListener(() -> memory.resize(0));
    }
  }

  private void failStream(String reason) {
    engine().onFailure(nowMs());
    owner.onFailed(this, EngineFailure.BROKEN, reason);
  }

  @Override
  public void onFailure(EngineFailure failure, String reason) {
    if (ended) {
      return;
    }
    end();
    if (failure != EngineFailure.QUARANTINED && failure != EngineFailure.CLOSED_BEFORE_ANSWER) {
      engine().onFailure(nowMs());
    }
    owner.onFailed(this, failure, reason);
  }

  /** Cancels the call and reports the attempt as failed. */
  void abandon(String reason) {
    handle.cancel();
    onFailure(EngineFailure.BROKEN, reason);
  }

  /** Cancels the call without an outcome. */
  void cancel() {
    if (!ended) {
      handle.cancel();
      end();
    }
  }

  /** Releases the memory of what the caller does not get. */
  void discardBody() {
    body.discard();
  }

  private void end() {
    ended = true;
    memory.resize(0);
    tracker.end();
    context.dispatcher().onSlotFreed(request.service(), tracker);
  }
}
