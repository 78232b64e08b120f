package io.pathdeck.fleet.engine;

/** Why a call to an engine brought no whole answer. */
public enum EngineFailure {
  /** No connection came up; the request was not sent. */
  NOT_SENT,
  /** Nothing listens at the engine's address; the request was not sent. */
  CONNECTION_REFUSED,
  /** Engines end under the request, so it was not sent. */
  QUARANTINED,
  /** A kept connection ended before any byte of an answer; the request may have run. */
  CLOSED_BEFORE_ANSWER,
  /** The connection ended before the answer was whole; the request may have run. */
  CONNECTION_ENDED,
  /** The answer is none, or was given up; the request may have run. */
  BROKEN;

  /** Whether the request surely did not run. */
  public boolean requestDidNotRun() {
    return this == NOT_SENT || this == CONNECTION_REFUSED || this == QUARANTINED;
  }

  /** Whether the engine may have ended while the request was under way there. */
  public boolean isLostConnection() {
    return this == CLOSED_BEFORE_ANSWER || this == CONNECTION_ENDED;
  }
}
