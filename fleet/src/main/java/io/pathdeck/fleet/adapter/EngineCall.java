package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * A request to one engine.
 *
 * @param uri the path with the query, as sent by the caller
 * @param tenant how the tenant is passed to the engine
 * @param headers the headers to forward
 * @param deadlineMs how long the engine may work
 * @param resumeAfter the last event that was already received; -1 to start from the beginning
 */
public record EngineCall(
    EngineInstance engine,
    HttpMethod method,
    String uri,
    String host,
    String requestId,
    EngineTenant tenant,
    HttpHeaders headers,
    byte[] body,
    long deadlineMs,
    long resumeAfter) {
  /** The request id of a call that carries no request of a caller. */
  public static final String NO_REQUEST_ID = "";

  /** Whether the call carries a request of a caller or an item of a job. */
  public boolean hasRequestId() {
    return !requestId.equals(NO_REQUEST_ID);
  }
}
