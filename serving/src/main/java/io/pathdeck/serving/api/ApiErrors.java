package io.pathdeck.serving.api;

import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.Json;
import io.pathdeck.serving.routing.RoutingDecision;

/** Converts internal errors into API errors. */
final class ApiErrors {
  private static final long UNAVAILABLE_RETRY_AFTER_MS = 1_000;

  private ApiErrors() {}

  static ApiError of(RoutingDecision.Refuse refuse) {
    return switch (refuse.reason()) {
      case RATE_LIMITED ->
          ApiError.rateLimited(
              "rate_limited", "the tenant's request rate is reached", refuse.retryAfterMs());
      case CONCURRENCY_LIMITED ->
          ApiError.rateLimited(
              "concurrency_limited",
              "the tenant's number of concurrent requests is reached",
              refuse.retryAfterMs());
      case NO_ENGINE ->
          ApiError.unavailable(
              "no_engine", "no engine of the service is available", refuse.retryAfterMs());
      case ENGINES_FULL ->
          ApiError.unavailable(
              "engines_full", "all engines of the service are full", refuse.retryAfterMs());
    };
  }

  static ApiError of(RoutingDecision.Fail fail) {
    return switch (fail.reason()) {
      case OUTCOME_UNKNOWN ->
          ApiError.failed(
              502,
              "outcome_unknown",
              "the request may have run and is not repeated",
              fail.mayHaveRun());
      case ATTEMPTS_EXHAUSTED ->
          ApiError.failed(502, "engine_failed", "the engines failed repeatedly", fail.mayHaveRun());
      case DEADLINE_EXCEEDED ->
          ApiError.failed(504, "deadline_exceeded", "the deadline has passed", fail.mayHaveRun());
    };
  }

  static ApiError ofInvalid(AttemptFailure.Invalid invalid) {
    String message =
        Json.parseObject(invalid.body())
            .map(body -> body.path("error").path("message").asText())
            .orElse("the engine found the request invalid");
    return new ApiError(invalid.status(), "invalid_request_error", "invalid", message, true, 0);
  }

  static ApiError callerTooSlow() {
    return ApiError.failed(500, "caller_too_slow", "the answer was read too slowly", true);
  }

  static ApiError overloaded() {
    return ApiError.unavailable(
        "overloaded", "this node is overloaded", UNAVAILABLE_RETRY_AFTER_MS);
  }

  static ApiError configurationLapsed() {
    return ApiError.unavailable(
        "configuration_lapsed",
        "this node cannot tell whether its configuration is in force",
        UNAVAILABLE_RETRY_AFTER_MS);
  }

  static ApiError of(ControlError error) {
    return new ApiError(
        503,
        "service_unavailable",
        "control_unavailable",
        error.reason(),
        !error.mayHaveRun(),
        UNAVAILABLE_RETRY_AFTER_MS);
  }
}
