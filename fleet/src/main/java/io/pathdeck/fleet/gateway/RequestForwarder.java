package io.pathdeck.fleet.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Forwards one request to an engine and its response to the caller; confined to the event loop.
 *
 * <p>If the route allows it, an interrupted stream is resumed at another engine after the last
 * complete event.
 */
final class RequestForwarder implements Dispatchable, Attempt.Owner {
  private static final int SERVER_ERROR = 500;

  /** Statuses by which callers are told that a request has not run and will not be. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** How long coordinators quarantine a request on which engines crashed. */
  private static final long QUARANTINE_RETRY_AFTER_MS = 600_000;

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
  private final CallerResponse response;
  private final QueueWait wait = new QueueWait();
  private ScheduledFuture<?> timeout;
  private Attempt attempt;
  private boolean finished;

  RequestForwarder(ForwardingContext context, ForwardedRequest request, StreamBinding binding) {
    this.context = context;
    this.request = request;
    this.exchange = request.exchange();
    this.binding = binding;
    this.response = new CallerResponse(exchange, request.startMs(), request.call().resumeAfter());
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
    return request.attributes(budget, response.hasBegun());
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
    attempt = new Attempt(context, request, binding, response, this, placement.get(), now);
    logResumption(attempt);
    attempt.start();
  }

  private void logResumption(Attempt resumed) {
    if (request.isStream() && resumed.resumedAfter() >= 0) {
      EngineInstance engine = resumed.engine().instance();
      log.streamResumed(request.call(), binding.softwareVersion(), resumed.resumedAfter(), engine);
      binding.onResume(response.hasBegun());
    }
  }

  @Override
  public void reject(String reason, long retryAfterMs) {
    refuse(reason, retryAfterMs);
  }

  private void retryOrFinish(boolean didNotRun, String reason) {
    if (attempt != null) {
      attempt.discardBody();
      attempt = null;
    }
    if (didNotRun) {
      budget.onNotRun();
    }
    boolean timeLeft = request.deadlineMs() - nowMs() > 0;
    if (!request.isStillAllowed()) {
      finishUnserved("the configuration does not allow the request any more");
    } else if (timeLeft && mayRetry()) {
      sendToNextEngine();
    } else {
      finishUnserved(reason);
    }
  }

  private boolean mayRetry() {
    return budget.mayRetry() && response.mayGoOn();
  }

  /** Called periodically; abandons an engine that is silent too long if a retry is allowed. */
  void checkSilence(long nowMs) {
    if (finished || attempt == null || isReadPaused(nowMs)) {
      return;
    }
    if (attempt.lacksEvents(nowMs)) {
      attempt.engine().onFailure(nowMs);
      abandonIfRetryIsAllowed("no event for " + Attempt.MAX_EVENT_GAP_MS + " ms");
      return;
    }
    SilenceTimeout.Silence silence = attempt.silence(nowMs);
    if (!context.silenceTimeout().isExceeded(silence)) {
      return;
    }
    attempt.engine().onFailure(nowMs);
    if (mayRetry()) {
      context.silenceTimeout().onTimeout(silence);
    }
    if (!response.hasBegun() || isAnotherEngineEligible(nowMs)) {
      abandonIfRetryIsAllowed("silent for " + silence.callMs() + " ms");
    }
  }

  /** Without one, a stream that has begun can go on only at the engine that it has. */
  private boolean isAnotherEngineEligible(long nowMs) {
    return !context.engines().inService(request.service(), constraints(), nowMs).isEmpty();
  }

  private void abandonIfRetryIsAllowed(String reason) {
    if (mayRetry()) {
      attempt.abandon(reason);
    }
  }

  /** Returns whether reading is paused for a slow caller; resumes it if possible. */
  private boolean isReadPaused(long nowMs) {
    return attempt != null && attempt.isReadPaused(nowMs);
  }

  // ---- outcomes of attempts

  @Override
  public void onServed(Attempt served) {
    cleanUp();
    completion.onServed(
        RequestLog.Served.by(
            served.tracker(),
            response,
            request.routesVersion(),
            wait.totalMs(),
            nowMs() - request.startMs()));
  }

  @Override
  public void onErrorResponse(Attempt failed, EngineResponse error, byte[] body) {
    long now = nowMs();
    if (error.wrongInstance()) {
      failed.engine().onRemoved();
      retryOrFinish(true, "another engine has the address");
    } else if (error.unsuitable()) {
      retryOrFinish(true, "the engine is not suitable for the request");
    } else if (error.notRun()) {
      failed.engine().onFull(now, Math.max(error.retryAfterMs(), 50));
      retryOrFinish(true, "the engine refused with " + error.status());
    } else if (error.status() >= SERVER_ERROR && mayRetry()) {
      retryOrFinish(false, logErrorResponse(failed));
    } else if (response.hasBegun() || NOT_RUN_STATUSES.contains(error.status())) {
      finishUnserved(logErrorResponse(failed));
    } else {
      cleanUp();
      completion.passBack(error, body);
    }
  }

  /** Logs an error response that is not passed back; returns the reason. */
  private String logErrorResponse(Attempt failed) {
    String reason = "the engine answered " + failed.status();
    log.attemptFailed(failed, RequestLog.ERROR_RESPONSE, reason, response.lastEventId());
    return reason;
  }

  @Override
  public void onFailed(Attempt failed, EngineFailure failure, String reason) {
    if (failure == EngineFailure.QUARANTINED) {
      onQuarantined(reason);
      return;
    }
    String failureName = failure.name().toLowerCase(Locale.ROOT);
    log.attemptFailed(failed, failureName, reason, response.lastEventId());
    retryOrFinish(failure.requestDidNotRun(), reason);
  }

  @Override
  public void onMemoryExhausted() {
    cancelAndFinish(MEMORY_EXHAUSTED);
  }

  @Override
  public void onCallerTooSlow() {
    log.callerTooSlow();
    cancelAndFinish("the caller reads too slowly");
  }

  // ---- completion

  private void cancelAndFinish(String reason) {
    if (!finished) {
      cancelAttempt();
      finishUnserved(reason);
    }
  }

  /** Ends the request to free memory; returns whether the caller is told that it did not run. */
  private boolean evict() {
    if (finished) {
      exchange.forceClose();
      return false;
    }
    boolean notRun = !response.hasBegun() && !budget.mayHaveRun();
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
    if (response.hasBegun()) {
      cleanUp();
      completion.abort(reason, response);
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
    if (response.hasBegun() || budget.mayHaveRun()) {
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
    if (response.hasBegun() || !budget.mayHaveRun()) {
      finishUnserved("the time is over");
    } else {
      cleanUp();
      completion.fail(504, "timeout", "the time is over");
    }
  }

  private void onCallerDisconnected() {
    if (!finished) {
      log.callerLeft(
          attempt == null ? null : attempt.engine(),
          response.lastEventId(),
          nowMs() - request.startMs());
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
}
