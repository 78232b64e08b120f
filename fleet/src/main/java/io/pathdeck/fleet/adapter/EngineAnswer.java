package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of an engine's answer.
 *
 * @param requestId the request that it answers; empty when it does not say
 * @param signed whether it bears an engine's signature
 * @param notRun the engine promises that the request did not run
 * @param otherInstance another engine answered than the one that was meant
 * @param load the engine's load; null when it does not say
 * @param idleTimeoutMs how long the engine keeps an idle connection; 0 when it does not say
 * @param headers what is passed back to the caller
 */
public record EngineAnswer(
    int status,
    String requestId,
    boolean signed,
    boolean notRun,
    boolean otherInstance,
    EngineLoadReport load,
    long idleTimeoutMs,
    long retryAfterMs,
    HttpHeaders headers) {
  private static final int SUCCESS_FROM = 200;
  private static final int SUCCESS_TO = 300;

  /** Whether the engine did what it was asked for. */
  public boolean isSuccess() {
    return status >= SUCCESS_FROM && status < SUCCESS_TO;
  }
}
