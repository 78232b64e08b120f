package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Status and headers of an engine's response.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that was answered; empty if not given
 * @param stamped whether the response carries the stamp that engines add
 * @param notRun whether the engine guarantees that the request did not run
 * @param wrongInstance whether an engine other than the addressed one answered
 * @param unsuitable whether the engine cannot run this call, such as one for another version of its
 *     weights; it says nothing of other calls
 * @param load the load of the engine; null if not given
 * @param idleTimeoutMs how long the engine keeps an idle connection open; 0 if not given
 * @param retryAfterMs how long to wait before a retry; 0 if not given
 * @param coldLeftMs how much longer the engine is cold; {@link #COLD_UNKNOWN} if not given
 * @param headers the headers to return to the caller
 */
public record EngineResponse(
    int status,
    String requestId,
    boolean stamped,
    boolean notRun,
    boolean wrongInstance,
    boolean unsuitable,
    EngineLoadReport load,
    long idleTimeoutMs,
    long retryAfterMs,
    long coldLeftMs,
    HttpHeaders headers) {
  /** The value of {@code coldLeftMs} if the engine does not tell it. */
  public static final long COLD_UNKNOWN = -1;

  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  /** Whether the engine tells how much longer it is cold. */
  public boolean tellsColdTime() {
    return coldLeftMs != COLD_UNKNOWN;
  }

  /** Whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
