package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * A request to one engine.
 *
 * @param engine the engine
 * @param method the HTTP method
 * @param uri the path with the query, as sent by the caller
 * @param host the value of the Host header
 * @param requestId the id of the request; {@link #NO_REQUEST_ID} if it has none
 * @param tenant how the tenant is passed to the engine
 * @param headers the headers to forward
 * @param body the body to forward
 * @param timeoutMs how long the engine may work; 0 for no limit
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
    long timeoutMs,
    long resumeAfter) {
  /** The request id of calls that the fleet makes itself, such as load requests. */
  public static final String NO_REQUEST_ID = "";

  /** Whether the call is for a request of a caller or an item of a job. */
  public boolean hasRequestId() {
    return !requestId.equals(NO_REQUEST_ID);
  }
}
