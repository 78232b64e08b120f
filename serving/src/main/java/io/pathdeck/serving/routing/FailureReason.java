package io.pathdeck.serving.routing;

/** The reason for the failure of a started request. */
public enum FailureReason {
  /** The request may have run and is not repeatable. */
  OUTCOME_UNKNOWN,
  /** All allowed attempts failed. */
  ATTEMPTS_EXHAUSTED,
  DEADLINE_EXCEEDED
}
