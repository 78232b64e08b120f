package io.pathdeck.fleet.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import io.pathdeck.fleet.adapter.CallerCall;
import io.pathdeck.fleet.adapter.EngineAnswer;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.EventScanner;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.Prompt;
import io.pathdeck.fleet.queue.Rank;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Brings one request to an engine and its answer back; confined to the event loop.
 *
 * <p>The answer keeps the head of the first engine that began it. A stream that breaks off goes on
 * at another engine after the last whole event, when its route allows that.
 */
final class RequestForwarder implements Dispatchable {
  private static final int SERVER_ERROR = 500;

  /** For how long coordinators hold a request back after they found that engines end under it. */
  private static final long QUARANTINE_RETRY_AFTER_MS = 600_000;

  private static final String MEMORY_SHORT = "memory for callers is short";

  /** Callers that come back sooner find the memory in use by the same slow ones. */
  private static final long MEMORY_RETRY_AFTER_MS = 1_000;

  private static final long NOT_WAITING = -1;

  private final ForwardingContext shared;
  private final HttpExchange exchange;
  private final CallerCall.Request request;
  private final Prompt prompt;
  private final RouteSpec route;
  private final String service;
  private final long routesVersion;
  private final long startMs;
  private final long deadlineMs;
  private final AttemptBudget budget;
  private final RequestLog log;
  private final RequestPermission permission;
  private final Set<String> tried = new HashSet<>();
  private ScheduledFuture<?> timeout;
  private Attempt attempt;
  private boolean headSent;
  private long firstMs;
  private long lastEventId;
  private boolean finished;
  private long waitingSinceMs = NOT_WAITING;
  private long waitedMs;

  RequestForwarder(
      ForwardingContext shared,
      HttpExchange exchange,
      CallerCall.Request request,
      RouteSpec route,
      String service,
      long routesVersion,
      RequestPermission permission,
      long nowMs) {
    this.routesVersion = routesVersion;
    this.permission = permission;
    this.startMs = nowMs;
    this.shared = shared;
    this.exchange = exchange;
    this.request = request;
    this.prompt = Prompt.of(request.promptTokens(), request.promptParts());
    this.route = route;
    this.service = service;
    this.lastEventId = request.resumeAfter();
    this.budget = new AttemptBudget(route, shared.settings().maxSends());
    this.log = new RequestLog(request.requestId(), route.name(), budget);
    long waitMs = route.timeoutMs();
    if (request.deadlineMs() > 0) {
      waitMs = Math.min(waitMs, request.deadlineMs());
    }
    this.deadlineMs = nowMs + Math.max(1, waitMs - shared.settings().answerMarginMs());
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  void start() {
    shared.active().add(this);
    exchange.onVanished(this::onCallerLeft);
    exchange.memory().belongTo(permission.caller().tenantName(), this::giveUpForMemory);
    exchange.onPartWritten(() -> isHeldBack(nowMs()));
    long waitMs = Math.max(0, deadlineMs - nowMs());
    timeout = shared.eventLoop().schedule(this::onDeadline, waitMs, TimeUnit.MILLISECONDS);
    sendToNextEngine();
  }

  // ---- attempts

  private void sendToNextEngine() {
    waitingSinceMs = nowMs();
    shared.dispatcher().submit(this);
  }

  @Override
  public Needs needs() {
    Rank rank =
        new Rank(budget.sends() > 0, permission.caller().tenantPriority(), route.priority());
    return new Needs(
        service,
        permission.caller().tenantName(),
        rank,
        route.targetMs() > 0 ? startMs + route.targetMs() : deadlineMs,
        deadlineMs,
        exchange.body().length,
        RequestWork.of(request),
        !headSent && !budget.mayHaveRun());
  }

  @Override
  public Set<String> tried() {
    return tried;
  }

  @Override
  public void sendTo(List<EngineState> candidates) {
    long now = nowMs();
    boolean waited = now > waitingSinceMs;
    endWait(now);
    if (waited && !permission.stillGiven().getAsBoolean()) {
      finishWithoutEngine("the configuration does not allow the request any more");
      return;
    }
    Optional<Placement> placement = shared.choice().choose(candidates, prompt, now);
    if (placement.isEmpty()) {
      finishWithoutEngine("no engine left");
      return;
    }
    budget.onSend();
    shared.metrics().onAttempt();
    attempt = new Attempt(placement.get(), now);
    attempt.begin();
  }

  @Override
  public void reject(String reason, long retryAfterMs) {
    refuse(reason, retryAfterMs);
  }

  private void endWait(long nowMs) {
    if (waitingSinceMs != NOT_WAITING) {
      waitedMs += nowMs - waitingSinceMs;
      waitingSinceMs = NOT_WAITING;
    }
  }

  private void afterFailure(boolean didNotRun, String reason) {
    if (attempt != null) {
      attempt.collected.drop();
      attempt = null;
    }
    if (didNotRun) {
      budget.onNotRun();
    }
    boolean timeLeft = deadlineMs - nowMs() > 0;
    if (!permission.stillGiven().getAsBoolean()) {
      finishWithoutEngine("the configuration does not allow the request any more");
    } else if (timeLeft && budget.mayTryAgain()) {
      sendToNextEngine();
    } else {
      finishWithoutEngine(reason);
    }
  }

  /** Called regularly: an engine that is silent for too long is given up where that is allowed. */
  void checkSilence(long nowMs) {
    if (finished || attempt == null || isHeldBack(nowMs)) {
      return;
    }
    long limit = shared.silenceLimit().limitMs(request.promptTokens());
    boolean silent =
        attempt.engine().silenceMs(nowMs) > limit && nowMs - attempt.lastProgressMs > limit;
    if (!silent) {
      return;
    }
    attempt.engine().onFailure(nowMs);
    if (budget.mayTryAgain()) {
      shared.silenceLimit().onGivenUp(limit);
      attempt.giveUp("silent for " + limit + " ms");
    }
  }

  /** Whether the answer is not read now since the caller takes it slowly. */
  private boolean isHeldBack(long nowMs) {
    boolean paused = attempt != null && attempt.pacing.isPaused();
    if (paused && attempt.pacing.update(nowMs)) {
      attempt.lastProgressMs = nowMs;
    }
    return paused && attempt.pacing.isPaused();
  }

  // ---- ends

  private void stop(String reason) {
    cancelAttempt();
    finishWithoutEngine(reason);
  }

  /** Frees what the request keeps in memory; returns whether it is rejected as not run. */
  private boolean giveUpForMemory() {
    if (finished) {
      exchange.breakOff();
      return false;
    }
    boolean notRun = !headSent && !budget.mayHaveRun();
    if (notRun) {
      refuse(MEMORY_SHORT, MEMORY_RETRY_AFTER_MS);
    } else {
      stop(MEMORY_SHORT);
    }
    return notRun;
  }

  private void finishWithoutEngine(String reason) {
    if (headSent) {
      log.failed(reason, "after_event", lastEventId);
      finish(RequestMetrics.Outcome.FAILED);
      exchange.abort();
    } else if (budget.mayHaveRun()) {
      fail(502, "engine_failed", reason);
    } else {
      refuse(reason, shared.settings().refusedRetryAfterMs());
    }
  }

  private void fail(int status, String code, String reason) {
    log.failed(reason, "status", status);
    finish(RequestMetrics.Outcome.FAILED);
    exchange.sendError(ApiError.failed(status, code, reason, true));
  }

  private void refuse(String reason, long retryAfterMs) {
    endWait(nowMs());
    log.refused(reason, waitedMs);
    finish(RequestMetrics.Outcome.REFUSED);
    Refusals.unavailable(exchange, reason, retryAfterMs);
  }

  /** Engines end under the request: it goes to none, and its caller hears so at once. */
  private void onQuarantined(String reason) {
    attempt = null;
    budget.onNotRun();
    if (headSent || budget.mayHaveRun()) {
      finishWithoutEngine(reason);
      return;
    }
    refuse(reason, QUARANTINE_RETRY_AFTER_MS);
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean mayHaveRun = budget.mayHaveRun();
    cancelAttempt();
    if (headSent || !mayHaveRun) {
      finishWithoutEngine("the time is over");
    } else {
      fail(504, "timeout", "the time is over");
    }
  }

  private void onCallerLeft() {
    if (!finished) {
      cancelAttempt();
      finish(RequestMetrics.Outcome.CALLER_LEFT);
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
  }

  private void finish(RequestMetrics.Outcome outcome) {
    shared.metrics().onEnd(route.kind(), outcome);
    finishQuietly();
  }

  private void finishServed() {
    shared.metrics().onServed(route.kind(), firstMs, nowMs() - startMs);
    finishQuietly();
  }

  private void finishQuietly() {
    finished = true;
    timeout.cancel(false);
    shared.active().remove(this);
    shared.dispatcher().remove(this);
  }

  /** One send of the request to one engine. */
  private final class Attempt implements EngineListener {
    private final EngineUse use;
    private final CollectedAnswer collected = new CollectedAnswer(exchange.memory());
    private final AnswerPacing pacing = new AnswerPacing(exchange, shared.metrics().memory());
    private EngineTransport.Handle handle;
    private EngineAnswer answer;
    private EventScanner scanner;
    private long lastProgressMs;
    private boolean over;

    Attempt(Placement placement, long nowMs) {
      this.use = new EngineUse(placement, nowMs);
      this.lastProgressMs = nowMs;
    }

    EngineState engine() {
      return use.engine();
    }

    void begin() {
      tried.add(engine().instance().id());
      use.begin();
      shared.callStarted().run();
      scanner = new EventScanner(lastEventId);
      EngineCall call =
          new EngineCall(
              engine().instance(),
              exchange.method(),
              exchange.uri(),
              request.host(),
              request.requestId(),
              permission.caller().toEngines(),
              request.headers(),
              exchange.body(),
              Math.max(1, deadlineMs - lastProgressMs),
              lastEventId);
      handle = shared.transport().start(call, this);
      pacing.begin(handle);
    }

    private boolean isStream() {
      return route.kind() == RouteKind.STREAM;
    }

    private void heard() {
      lastProgressMs = nowMs();
      use.onHeard(lastProgressMs);
    }

    @Override
    public void onHead(EngineAnswer head) {
      if (over) {
        return;
      }
      heard();
      long tokensReadPerMs = shared.settings().tokensReadPerMs();
      long waitMs = use.onFirstBytes(tokensReadPerMs, head.load(), lastProgressMs);
      shared.silenceLimit().onFirstBytes(waitMs);
      shared.dispatcher().onFirstBytes(service, use);
      answer = head;
      if (answer.isSuccess() && isStream() && !headSent) {
        headSent = true;
        firstMs = lastProgressMs - startMs;
        exchange.startStream(head.status(), head.headers());
      }
    }

    @Override
    public void onBody(byte[] part) {
      if (over) {
        return;
      }
      heard();
      if (!answer.isSuccess() || !isStream()) {
        if (!collected.add(part)) {
          stop(MEMORY_SHORT);
        }
        return;
      }
      byte[] events = scanner.feed(part);
      if (events.length > 0) {
        lastEventId = scanner.lastId();
        use.onEvent(lastEventId, lastProgressMs);
        if (!exchange.write(events)) {
          log.callerTooSlow();
          stop("the caller reads too slowly");
          return;
        }
        pacing.update(lastProgressMs);
      }
      if (scanner.problem() != null) {
        giveUp(scanner.problem());
      }
    }

    @Override
    public void onEnd() {
      if (over) {
        return;
      }
      end();
      if (answer.isSuccess()) {
        onSuccessEnd();
      } else {
        onRefusalOrError();
      }
    }

    private void onSuccessEnd() {
      if (!isStream()) {
        firstMs = nowMs() - startMs;
        logServed();
        finishServed();
        exchange.send(answer.status(), answer.headers(), collected.toByteArray());
      } else if (scanner.isInsideEvent()) {
        engine().onFailure(nowMs());
        afterFailure(false, "the stream ended inside an event");
      } else {
        use.onWholeStream(nowMs());
        logServed();
        finishServed();
        exchange.endStream();
      }
    }

    private void logServed() {
      log.served(
          RequestLog.Served.by(
              use, routesVersion, waitedMs, firstMs, nowMs() - startMs, lastEventId));
    }

    private void onRefusalOrError() {
      long now = nowMs();
      if (answer.otherInstance()) {
        engine().onGone();
        afterFailure(true, "another engine has the address");
      } else if (answer.notRun()) {
        engine().onFull(now, Math.max(answer.retryAfterMs(), 50));
        afterFailure(true, "the engine refused with " + answer.status());
      } else if (answer.status() >= SERVER_ERROR && budget.mayTryAgain()) {
        afterFailure(false, "the engine answered " + answer.status());
      } else if (headSent) {
        finishWithoutEngine("the engine answered " + answer.status());
      } else {
        finish(RequestMetrics.Outcome.FAILED);
        exchange.send(answer.status(), answer.headers(), collected.toByteArray());
      }
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (over) {
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
      afterFailure(failure.isNotRun(), reason);
    }

    void giveUp(String reason) {
      handle.cancel();
      onFailure(EngineFailure.BROKEN, reason);
    }

    void cancel() {
      if (!over) {
        handle.cancel();
        end();
      }
    }

    private void end() {
      over = true;
      use.end();
      shared.dispatcher().onPlaceFreed(service, use);
    }
  }
}
