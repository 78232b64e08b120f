package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of an engine's answer.
 *
 * @param requestId the request that it answers; empty when it does not say
 * @param signed whether it bears an engine's signature
 * @param notRun the engine promises that the request did not run
 * @param wrongInstance another engine answered than the one that was meant
 * @param load the engine's load; null when it does not say
 * @param idleTimeoutMs how long the engine keeps an idle connection; 0 when it does not say
 * @param headers what is passed back to the caller
 */
public record EngineResponse(
    int status,
    String requestId,
    boolean signed,
    boolean notRun,
    boolean wrongInstance,
    EngineLoadReport load,
    long idleTimeoutMs,
    long retryAfterMs,
    HttpHeaders headers) {
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  /** Whether the engine did what it was asked for. */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
