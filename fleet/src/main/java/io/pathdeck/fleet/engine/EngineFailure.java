package io.pathdeck.fleet.engine;

/** Why a call to an engine returned no complete response. */
public enum EngineFailure {
  /** No connection could be established; the request was not sent. */
  NOT_SENT,
  /** The engine's address refused the connection; the request was not sent. */
  CONNECTION_REFUSED,
  /** The request is quarantined because engines crashed under it; it was not sent. */
  QUARANTINED,
  /** A kept connection closed before any byte of a response; the request may have run. */
  CLOSED_BEFORE_ANSWER,
  /** The connection closed before the response was complete; the request may have run. */
  CONNECTION_ENDED,
  /** The response was invalid or the call was aborted; the request may have run. */
  BROKEN;

  /** Whether the request certainly did not run. */
  public boolean requestDidNotRun() {
    return this == NOT_SENT || this == CONNECTION_REFUSED || this == QUARANTINED;
  }

  /** Whether the engine may have gone down while it processed the request. */
  public boolean isLostConnection() {
    return this == CLOSED_BEFORE_ANSWER || this == CONNECTION_ENDED;
  }
}
