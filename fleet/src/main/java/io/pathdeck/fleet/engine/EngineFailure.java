package io.pathdeck.fleet.engine;

/** Why a call to an engine brought no whole answer. */
public enum EngineFailure {
  /** No connection came up; the request was not sent. */
  NOT_SENT,
  /** A kept connection ended before any byte of an answer; the request may have run. */
  CLOSED_BEFORE_ANSWER,
  /** The answer broke off or is none; the request may have run. */
  BROKEN
}
