package io.pathdeck.serving.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An error response in the format of the OpenAI API.
 *
 * @param code a stable, machine-readable code
 * @param notRun guarantees that the request was not run and will not be
 * @param retryAfterMs the delay before a retry; 0 omits the header
 */
public record ApiError(
    int status, String type, String code, String message, boolean notRun, long retryAfterMs) {
  private static final String INVALID_REQUEST = "invalid_request_error";

  /** The request is invalid. */
  public static ApiError invalid(String code, String message) {
    return new ApiError(400, INVALID_REQUEST, code, message, true, 0);
  }

  /** A resource named in the request does not exist. */
  public static ApiError notFound(String code, String message) {
    return new ApiError(404, INVALID_REQUEST, code, message, true, 0);
  }

  /** The API key is missing or unknown. */
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

  /** The server does not support a feature that the request needs. */
  public static ApiError notImplemented(String message) {
    return new ApiError(501, INVALID_REQUEST, "not_implemented", message, true, 0);
  }

  /** The caller reached a limit, and the request was not run. */
  public static ApiError rateLimited(String code, String message, long retryAfterMs) {
    return new ApiError(429, "rate_limit_error", code, message, true, retryAfterMs);
  }

  /** The service is temporarily unavailable, and the request was not run. */
  public static ApiError unavailable(String code, String message, long retryAfterMs) {
    return new ApiError(503, "service_unavailable", code, message, true, retryAfterMs);
  }

  /** The request failed after its start. */
  public static ApiError failed(int status, String code, String message, boolean mayHaveRun) {
    return new ApiError(status, "server_error", code, message, !mayHaveRun, 0);
  }

  /** Returns the JSON response body. */
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
