package io.pathdeck.fleet.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.Locale;
import java.util.Map;

/** Error responses to requests that did not run, with a {@code Retry-After} header. */
final class Refusals {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private Refusals() {}

  static void unavailable(HttpExchange exchange, String reason, long retryAfterMs) {
    send(exchange, ApiError.unavailable("not_run", reason, 0), retryAfterMs);
  }

  static void overQuota(HttpExchange exchange, String reason, long retryAfterMs) {
    send(exchange, ApiError.rateLimited("quota", reason, 0), retryAfterMs);
  }

  static void overRate(HttpExchange exchange, String reason, long retryAfterMs) {
    send(exchange, ApiError.rateLimited("rate_limit", reason, 0), retryAfterMs);
  }

  private static void send(HttpExchange exchange, ApiError error, long retryAfterMs) {
    String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMs / MILLIS_PER_SECOND);
    exchange.sendError(error, Map.of(HttpHeaderNames.RETRY_AFTER.toString(), seconds));
  }
}
