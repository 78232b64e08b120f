package io.pathdeck.serving.engine;

/** Header names of the engines' HTTP protocol. */
public final class EngineHeaders {
  /** The ID of an attempt; the engine echoes it in its response. */
  public static final String REQUEST_ID = "x-request-id";

  /** The priority of a request, {@code online} or {@code batch}. */
  public static final String PRIORITY = "x-priority";

  /** The ID in the response body, the same for all attempts of a request. */
  public static final String RESPONSE_ID = "x-response-id";

  /** The offset of the last received token; the engine continues after it. */
  public static final String LAST_EVENT_ID = "last-event-id";

  /** The engine's load, in each response. */
  public static final String LOAD = "x-engine-load";

  /** {@code true} if an engine refuses a request because it is shutting down. */
  public static final String LEAVING = "x-engine-leaving";

  private EngineHeaders() {}
}
