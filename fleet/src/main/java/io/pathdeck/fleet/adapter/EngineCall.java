package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * One request to one engine.
 *
 * @param uri the path with the query, as the caller sent it
 * @param tenant what the engine is told of the request's tenant
 * @param headers what is passed on
 * @param deadlineMs how long the engine may work
 * @param resumeAfter the last event that is already held; -1 to start from the beginning
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
  /** The id of a call that is no caller's request. */
  public static final String NO_REQUEST_ID = "";

  /** Whether this is a request of a caller or an item of a job. */
  public boolean hasRequestId() {
    return !requestId.equals(NO_REQUEST_ID);
  }
}
