package io.pathdeck.serving.engine;

/** Headers of the engines' protocol. */
public final class EngineHeaders {
  /** Identifies an attempt; the engine echoes it in its answer. */
  public static final String REQUEST_ID = "x-request-id";

  /** The priority of a request, {@code online} or {@code batch}. */
  public static final String PRIORITY = "x-priority";

  /** The identifier that the answer carries, the same for all attempts of a request. */
  public static final String RESPONSE_ID = "x-response-id";

  /** The offset of the last token received; the engine continues after it. */
  public static final String LAST_EVENT_ID = "last-event-id";

  /** The engine's load, on each answer. */
  public static final String LOAD = "x-engine-load";

  /** Present with {@code true} on a refusal by an engine that is leaving. */
  public static final String LEAVING = "x-engine-leaving";

  private EngineHeaders() {}
}
