package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.engine.Prompt;
import io.pathdeck.fleet.queue.Rank;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.serving.http.HttpExchange;

/**
 * A caller's request with the route that it matched; the same for all attempts. Times are instants
 * of the monotonic clock.
 *
 * @param exchange the caller's request and its response
 * @param call the request as the caller's protocol tells it
 * @param route the route that it matched
 * @param service the service of that route whose engines may serve it
 * @param routesVersion the version of the route table
 * @param authorization what its caller may do
 * @param prompt the parts of its prompt
 * @param startMs when it arrived
 * @param deadlineMs when it must have been answered
 */
record ForwardedRequest(
    HttpExchange exchange,
    CallerRequest.Routed call,
    RouteSpec route,
    String service,
    long routesVersion,
    RequestAuthorization authorization,
    Prompt prompt,
    long startMs,
    long deadlineMs) {

  /** Creates a request that has just arrived. */
  static ForwardedRequest arrived(
      ForwardingSettings settings,
      HttpExchange exchange,
      CallerRequest.Routed call,
      RouteSpec route,
      String service,
      long routesVersion,
      RequestAuthorization authorization,
      long nowMs) {
    long timeoutMs = route.timeoutMs();
    if (call.maxWaitMs() > 0) {
      timeoutMs = Math.min(timeoutMs, call.maxWaitMs());
    }
    return new ForwardedRequest(
        exchange,
        call,
        route,
        service,
        routesVersion,
        authorization,
        Prompt.of(call.promptTokens(), call.promptParts()),
        nowMs,
        nowMs + Math.max(1, timeoutMs - settings.responseMarginMs()));
  }

  boolean isStream() {
    return route.kind() == RouteKind.STREAM;
  }

  /** Returns whether the configuration still allows the request. */
  boolean isStillAllowed() {
    return authorization.stillAllowed().getAsBoolean();
  }

  /** Returns the call that an engine gets, for what follows the event {@code afterEvent}. */
  EngineCall callTo(EngineInstance engine, long afterEvent, long nowMs) {
    return new EngineCall(
        engine,
        exchange.method(),
        exchange.uri(),
        call.host(),
        call.requestId(),
        authorization.caller().toEngineTenant(),
        call.headers(),
        exchange.body(),
        Math.max(1, deadlineMs - nowMs),
        afterEvent);
  }

  /** Returns what decides when the next attempt starts. */
  Dispatchable.DispatchAttributes attributes(AttemptBudget budget, boolean headSent) {
    Rank rank =
        new Rank(budget.sends() > 0, authorization.caller().tenantPriority(), route.priority());
    return new Dispatchable.DispatchAttributes(
        service,
        authorization.caller().tenantName(),
        rank,
        route.targetMs() > 0 ? startMs + route.targetMs() : deadlineMs,
        deadlineMs,
        exchange.body().length,
        RequestWork.of(call),
        !headSent && !budget.mayHaveRun());
  }
}
