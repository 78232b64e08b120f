package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;

/** Logs and counts the end of one request, and tells its caller; confined to the event loop. */
final class RequestCompletion {
  private final RequestMetrics metrics;
  private final HttpExchange exchange;
  private final RouteKind kind;
  private final RequestLog log;

  RequestCompletion(RequestMetrics metrics, HttpExchange exchange, RouteKind kind, RequestLog log) {
    this.metrics = metrics;
    this.exchange = exchange;
    this.kind = kind;
    this.log = log;
  }

  /** Breaks off a response that has begun. */
  void abort(String reason, CallerResponse response) {
    log.brokenOff(reason, response);
    metrics.onEnd(kind, RequestMetrics.Outcome.FAILED);
    exchange.abort();
  }

  /** Ends a request that may have run with an error of the gateway. */
  void fail(int status, String code, String reason) {
    log.failed(reason, status);
    metrics.onEnd(kind, RequestMetrics.Outcome.FAILED);
    exchange.sendError(ApiError.failed(status, code, reason, true));
  }

  /** Passes an engine's error response back. */
  void passBack(EngineResponse response, byte[] body) {
    metrics.onEnd(kind, RequestMetrics.Outcome.FAILED);
    exchange.send(response.status(), response.headers(), body);
  }

  /** Refuses a request that has not run. */
  void refuse(String reason, long waitedMs, long retryAfterMs) {
    log.refused(reason, waitedMs);
    metrics.onEnd(kind, RequestMetrics.Outcome.REFUSED);
    Refusals.unavailable(exchange, reason, retryAfterMs);
  }

  void onServed(RequestLog.Served served) {
    log.served(served);
    metrics.onServed(kind, served.timeToFirstByteMs(), served.totalMs());
  }

  void onCallerLeft() {
    metrics.onEnd(kind, RequestMetrics.Outcome.CALLER_LEFT);
  }
}
