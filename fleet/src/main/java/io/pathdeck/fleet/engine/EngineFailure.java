package io.pathdeck.fleet.engine;

/** Why a call to an engine returned no complete response. */
public enum EngineFailure {
  /** No connection could be established; the request was not sent. */
  NOT_SENT,
  /** The engine's address refused the connection; the request was not sent. */
  CONNECTION_REFUSED,
  /** The request is quarantined because engines crashed while processing it; it was not sent. */
  QUARANTINED,
  /** A connection that had been idle closed before the response; the request may have run. */
  CLOSED_BEFORE_ANSWER,
  /** The connection closed before the response was complete; the request may have run. */
  CONNECTION_ENDED,
  /** The response was invalid, or the caller aborted the call; the request may have run. */
  BROKEN;

  /** Whether the request certainly did not run. */
  public boolean requestDidNotRun() {
    return this == NOT_SENT || this == CONNECTION_REFUSED || this == QUARANTINED;
  }

  /** Whether the connection was lost after the request was sent; the engine may be down. */
  public boolean isLostConnection() {
    return this == CLOSED_BEFORE_ANSWER || this == CONNECTION_ENDED;
  }
}
