package io.pathdeck.serving.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An error as callers see it, in the shape of the OpenAI API.
 *
 * @param code a stable word that programs may test
 * @param notRun a promise: the request was not run and will not be
 * @param retryAfterMs when to come back; 0 leaves the header out
 */
public record ApiError(
    int status, String type, String code, String message, boolean notRun, long retryAfterMs) {
  private static final String INVALID_REQUEST = "invalid_request_error";

  /** The caller's request is wrong. */
  public static ApiError invalid(String code, String message) {
    return new ApiError(400, INVALID_REQUEST, code, message, true, 0);
  }

  /** Something the request names does not exist. */
  public static ApiError notFound(String code, String message) {
    return new ApiError(404, INVALID_REQUEST, code, message, true, 0);
  }

  /** The key is missing or wrong. */
  public static ApiError unauthorized() {
    return new ApiError(
        401, "authentication_error", "invalid_api_key", "missing or unknown API key", true, 0);
  }

  /** The request conflicts with an earlier one. */
  public static ApiError conflict(String code, String message, boolean notRun) {
    return new ApiError(409, INVALID_REQUEST, code, message, notRun, 0);
  }

  /** The request is too large. */
  public static ApiError tooLarge(String message) {
    return new ApiError(413, INVALID_REQUEST, "request_too_large", message, true, 0);
  }

  /** The caller has reached a limit; the request was not run. */
  public static ApiError rateLimited(String code, String message, long retryAfterMs) {
    return new ApiError(429, "rate_limit_error", code, message, true, retryAfterMs);
  }

  /** The request cannot be served now and was not run. */
  public static ApiError unavailable(String code, String message, long retryAfterMs) {
    return new ApiError(503, "service_unavailable", code, message, true, retryAfterMs);
  }

  /** The request was started and has failed. */
  public static ApiError failed(int status, String code, String message, boolean mayHaveRun) {
    return new ApiError(status, "server_error", code, message, !mayHaveRun, 0);
  }

  /** The JSON body. */
  public byte[] toJson() {
    ObjectNode body = Json.object();
    ObjectNode error = body.putObject("error");
    error.put("message", message);
    error.put("type", type);
    error.putNull("param");
    error.put("code", code);
    error.put("not_run", notRun);
    return Json.encode(body);
  }
}
