package io.pathdeck.serving.api;

import io.netty.handler.codec.http.HttpHeaders;
import io.pathdeck.common.result.Result;
import io.pathdeck.serving.http.ApiError;

/** Parses the request headers for idempotency, repeatability and deadlines. */
final class RequestHeaders {
  static final String IDEMPOTENCY_KEY = "idempotency-key";
  static final String REPEATABLE = "x-pathdeck-repeatable";
  static final String DEADLINE_MS = "x-pathdeck-deadline-ms";

  private static final int MAX_KEY_LENGTH = 256;
  private static final long MAX_DEADLINE_MS = 3_600_000;

  private RequestHeaders() {}

  /** Returns the idempotency key or null, or an error if it is invalid. */
  static Result<String, ApiError> idempotencyKey(HttpHeaders headers) {
    String key = headers.get(IDEMPOTENCY_KEY);
    if (key != null && (key.isBlank() || key.length() > MAX_KEY_LENGTH)) {
      return Result.err(
          ApiError.invalid("invalid_header", IDEMPOTENCY_KEY + ": expected 1 to 256 characters"));
    }
    return Result.ok(key);
  }

  static Result<Boolean, ApiError> repeatable(HttpHeaders headers) {
    String value = headers.get(REPEATABLE);
    if (value == null || value.equalsIgnoreCase("true")) {
      return Result.ok(true);
    }
    if (value.equalsIgnoreCase("false")) {
      return Result.ok(false);
    }
    return Result.err(ApiError.invalid("invalid_header", REPEATABLE + ": expected true or false"));
  }

  static Result<Long, ApiError> deadlineMs(HttpHeaders headers, long fallback) {
    String value = headers.get(DEADLINE_MS);
    if (value == null) {
      return Result.ok(fallback);
    }
    try {
      long parsed = Long.parseLong(value.trim());
      if (parsed >= 1 && parsed <= MAX_DEADLINE_MS) {
        return Result.ok(parsed);
      }
    } catch (NumberFormatException e) {
      // Falls through to the error below.
    }
    return Result.err(
        ApiError.invalid("invalid_header", DEADLINE_MS + ": expected 1 to " + MAX_DEADLINE_MS));
  }
}
