package io.pathdeck.fleet.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.SseEventScanner;
import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Forwards one request to an engine and its response to the caller; confined to the event loop.
 *
 * <p>The response keeps the head of the first engine that started it. If the route allows it, an
 * interrupted stream is resumed at another engine after the last complete event.
 */
final class RequestForwarder implements Dispatchable {
  private static final int SERVER_ERROR = 500;

  /** How long coordinators quarantine a request on which engines crashed. */
  private static final long QUARANTINE_RETRY_AFTER_MS = 600_000;

  /**
   * How long a stream may go on without an event while other bytes arrive. Callers leave sooner if
   * they wait for one.
   */
  private static final long MAX_EVENT_GAP_MS = 2_000;

  private static final String MEMORY_EXHAUSTED = "memory for callers is short";

  /** Earlier retries would find the memory still in use by the same slow callers. */
  private static final long MEMORY_RETRY_AFTER_MS = 1_000;

  private final ForwardingContext context;
  private final ForwardedRequest request;
  private final HttpExchange exchange;
  private final AttemptBudget budget;
  private final RequestLog log;
  private final RequestCompletion completion;
  private final StreamBinding binding;
  private final QueueWait wait = new QueueWait();
  private ScheduledFuture<?> timeout;
  private Attempt attempt;
  private boolean headSent;
  private long timeToFirstByteMs;
  private long lastEventId;
  private boolean finished;

  RequestForwarder(ForwardingContext context, ForwardedRequest request, StreamBinding binding) {
    this.context = context;
    this.request = request;
    this.exchange = request.exchange();
    this.binding = binding;
    this.lastEventId = request.call().resumeAfter();
    this.budget = new AttemptBudget(request.route(), context.settings().maxSends());
    this.log = new RequestLog(request.call().requestId(), request.route().name(), budget);
    this.completion =
        new RequestCompletion(context.metrics(), exchange, request.route().kind(), log);
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  void start() {
    context.activeRequests().add(this);
    exchange.setDisconnectListener(this::onCallerDisconnected);
    exchange.memory().setOwner(request.authorization().caller().tenantName(), this::evict);
    exchange.setPartWrittenListener(() -> isReadPaused(nowMs()));
    long waitMs = Math.max(0, request.deadlineMs() - nowMs());
    timeout = context.eventLoop().schedule(this::onDeadline, waitMs, TimeUnit.MILLISECONDS);
    sendToNextEngine();
  }

  // ---- attempts

  private void sendToNextEngine() {
    wait.begin(nowMs());
    context.dispatcher().submit(this);
  }

  @Override
  public DispatchAttributes attributes() {
    return request.attributes(budget, headSent);
  }

  @Override
  public RequestConstraints constraints() {
    return new RequestConstraints(
        budget.triedEngineIds(), request.authorization().allowedRegions().get(), binding.origin());
  }

  @Override
  public void sendTo(List<EngineState> candidates) {
    long now = nowMs();
    boolean wasQueued = wait.end(now);
    if (wasQueued && !request.isStillAllowed()) {
      finishUnserved("the configuration does not allow the request any more");
      return;
    }
    Optional<Placement> placement =
        context.loadBalancer().choose(candidates, request.prompt(), now);
    if (placement.isEmpty()) {
      binding.onNoEngine();
      NoEligibleEngine cause = context.noEligibleEngine(request.service(), constraints(), now);
      finishUnserved(cause.reason(), cause.retryAfterMs());
      return;
    }
    budget.onSend(placement.get().engine().instance().id());
    context.metrics().onAttempt();
    binding.onSend();
    attempt = new Attempt(placement.get(), now);
    attempt.start();
  }

  @Override
  public void reject(String reason, long retryAfterMs) {
    refuse(reason, retryAfterMs);
  }

  private void retryOrFinish(boolean didNotRun, String reason) {
    if (attempt != null) {
      attempt.body.discard();
      attempt = null;
    }
    if (didNotRun) {
      budget.onNotRun();
    }
    boolean timeLeft = request.deadlineMs() - nowMs() > 0;
    if (!request.isStillAllowed()) {
      finishUnserved("the configuration does not allow the request any more");
    } else if (timeLeft && budget.mayRetry()) {
      sendToNextEngine();
    } else {
      finishUnserved(reason);
    }
  }

  /** Called periodically; abandons an engine that is silent too long if a retry is allowed. */
  void checkSilence(long nowMs) {
    if (finished || attempt == null || isReadPaused(nowMs)) {
      return;
    }
    if (attempt.lacksEvents(nowMs)) {
      attempt.engine().onFailure(nowMs);
      abandonIfRetryIsAllowed("no event for " + MAX_EVENT_GAP_MS + " ms");
      return;
    }
    SilenceTimeout.Silence silence = attempt.silence(nowMs);
    if (!context.silenceTimeout().isExceeded(silence)) {
      return;
    }
    attempt.engine().onFailure(nowMs);
    if (budget.mayRetry()) {
      context.silenceTimeout().onTimeout(silence);
    }
    abandonIfRetryIsAllowed("silent for " + silence.callMs() + " ms");
  }

  private void abandonIfRetryIsAllowed(String reason) {
    if (budget.mayRetry()) {
      attempt.abandon(reason);
    }
  }

  /** Returns whether reading is paused for a slow caller; resumes it if possible. */
  private boolean isReadPaused(long nowMs) {
    boolean paused = attempt != null && attempt.flowControl.isPaused();
    if (paused && attempt.flowControl.update(nowMs)) {
      attempt.lastProgressMs = nowMs;
      attempt.lastEventMs = nowMs;
    }
    return paused && attempt.flowControl.isPaused();
  }

  // ---- completion

  private void cancelAndFinish(String reason) {
    cancelAttempt();
    finishUnserved(reason);
  }

  /** Ends the request to free memory; returns whether the caller is told that it did not run. */
  private boolean evict() {
    if (finished) {
      exchange.forceClose();
      return false;
    }
    boolean notRun = !headSent && !budget.mayHaveRun();
    if (notRun) {
      refuse(MEMORY_EXHAUSTED, MEMORY_RETRY_AFTER_MS);
    } else {
      cancelAndFinish(MEMORY_EXHAUSTED);
    }
    return notRun;
  }

  private void finishUnserved(String reason) {
    finishUnserved(reason, context.settings().refusedRetryAfterMs());
  }

  private void finishUnserved(String reason, long retryAfterMs) {
    if (headSent) {
      cleanUp();
      completion.abort(reason, lastEventId);
    } else if (budget.mayHaveRun()) {
      cleanUp();
      completion.fail(502, "engine_failed", reason);
    } else {
      refuse(reason, retryAfterMs);
    }
  }

  private void refuse(String reason, long retryAfterMs) {
    wait.end(nowMs());
    cleanUp();
    completion.refuse(reason, wait.totalMs(), retryAfterMs);
  }

  /** Ends a request that is quarantined because engines crashed on it; does not retry it. */
  private void onQuarantined(String reason) {
    attempt = null;
    budget.onNotRun();
    if (headSent || budget.mayHaveRun()) {
      finishUnserved(reason);
      return;
    }
    refuse(reason, QUARANTINE_RETRY_AFTER_MS);
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    cancelAttempt();
    if (headSent || !budget.mayHaveRun()) {
      finishUnserved("the time is over");
    } else {
      cleanUp();
      completion.fail(504, "timeout", "the time is over");
    }
  }

  private void onCallerDisconnected() {
    if (!finished) {
      log.callerLeft(
          attempt == null ? null : attempt.engine(), lastEventId, nowMs() - request.startMs());
      cancelAttempt();
      cleanUp();
      completion.onCallerLeft();
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
  }

  private void cleanUp() {
    finished = true;
    timeout.cancel(false);
    context.activeRequests().remove(this);
    context.dispatcher().remove(this);
  }

  /** One attempt to serve the request at one engine. */
  private final class Attempt implements EngineListener {
    private final boolean isStream = request.isStream();
    private final AttemptTracker tracker;
    private final BufferedResponse body =
        new BufferedResponse(exchange.memory(), context.responseMemory());
    private final ResponseFlowControl flowControl =
        new ResponseFlowControl(exchange, context.metrics().memory());
    private EngineTransport.Handle handle;
    private EngineResponse response;
    private SseEventScanner scanner;
    private long lastProgressMs;
    private long lastEventMs;
    private boolean ended;

    Attempt(Placement placement, long nowMs) {
      this.tracker = new AttemptTracker(placement, nowMs);
      this.lastProgressMs = nowMs;
    }

    EngineState engine() {
      return tracker.engine();
    }

    void start() {
      tracker.begin();
      context.callStartListener().run();
      scanner = new SseEventScanner(lastEventId);
      if (isStream && lastEventId >= 0) {
        log.streamResumed(
            request.call(), binding.softwareVersion(), lastEventId, engine().instance());
        binding.onResume(headSent);
      }
      EngineCall call = request.callTo(engine().instance(), lastEventId, lastProgressMs);
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

    private void recordProgress() {
      lastProgressMs = nowMs();
      tracker.onDataReceived(lastProgressMs);
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
      if (response.isSuccess() && isStream && !headSent) {
        headSent = true;
        timeToFirstByteMs = lastProgressMs - request.startMs();
        exchange.startStream(head.status(), head.headers());
      }
    }

    @Override
    public void onBody(byte[] part) {
      if (ended) {
        return;
      }
      recordProgress();
      if (!response.isSuccess() || !isStream) {
        collect(part);
        return;
      }
      byte[] events = scanner.feed(part);
      if (scanner.hasAdvanced()) {
        lastEventMs = lastProgressMs;
      }
      if (events.length > 0) {
        lastEventId = scanner.lastId();
        binding.onEvents(engine().instance());
        tracker.onEvent(lastEventId, lastProgressMs);
        if (!exchange.write(events)) {
          log.callerTooSlow();
          cancelAndFinish("the caller reads too slowly");
          return;
        }
        flowControl.update(lastProgressMs);
      }
      if (scanner.problem() != null) {
        abandon(scanner.problem());
      }
    }

    private void collect(byte[] part) {
      switch (body.add(part)) {
        case TOO_LONG -> abandon("the response is too long");
        case NO_MEMORY -> cancelAndFinish(MEMORY_EXHAUSTED);
        default -> {}
      }
    }

    @Override
    public void onEnd() {
      if (ended) {
        return;
      }
      end();
      if (response.isSuccess()) {
        onSuccess();
      } else {
        onErrorResponse();
      }
    }

    private void onSuccess() {
      if (!isStream) {
        timeToFirstByteMs = nowMs() - request.startMs();
        finishServed();
        exchange.send(response.status(), response.headers(), body.toByteArray());
      } else if (scanner.hasPartialEvent()) {
        engine().onFailure(nowMs());
        retryOrFinish(false, "the stream ended inside an event");
      } else {
        tracker.onStreamCompleted(nowMs());
        finishServed();
        exchange.endStream();
      }
    }

    private void finishServed() {
      cleanUp();
      completion.onServed(
          RequestLog.Served.by(
              tracker,
              request.routesVersion(),
              wait.totalMs(),
              timeToFirstByteMs,
              nowMs() - request.startMs(),
              lastEventId));
    }

    private void onErrorResponse() {
      long now = nowMs();
      if (response.wrongInstance()) {
        engine().onRemoved();
        retryOrFinish(true, "another engine has the address");
      } else if (response.unsuitable()) {
        retryOrFinish(true, "the engine is not suitable for the request");
      } else if (response.notRun()) {
        engine().onFull(now, Math.max(response.retryAfterMs(), 50));
        retryOrFinish(true, "the engine refused with " + response.status());
      } else if (response.status() >= SERVER_ERROR && budget.mayRetry()) {
        retryOrFinish(false, "the engine answered " + response.status());
      } else if (headSent) {
        finishUnserved("the engine answered " + response.status());
      } else {
        cleanUp();
        completion.passBack(response, body.toByteArray());
      }
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (ended) {
        return;
      }
      end();
      if (failure == EngineFailure.QUARANTINED) {
        onQuarantined(reason);
        return;
      }
      if (failure != EngineFailure.CLOSED_BEFORE_ANSWER) {
        engine().onFailure(nowMs());
      }
      log.attemptFailed(engine().instance().id(), failure, reason, lastEventId);
      retryOrFinish(failure.requestDidNotRun(), reason);
    }

    void abandon(String reason) {
      handle.cancel();
      onFailure(EngineFailure.BROKEN, reason);
    }

    void cancel() {
      if (!ended) {
        handle.cancel();
        end();
      }
    }

    private void end() {
      ended = true;
      body.end();
      tracker.end();
      context.dispatcher().onSlotFreed(request.service(), tracker);
    }
  }
}
