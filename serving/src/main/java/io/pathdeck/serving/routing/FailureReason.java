package io.pathdeck.serving.routing;

/** Why a request that was started has failed. */
public enum FailureReason {
  /** The request may have run and must not run again. */
  OUTCOME_UNKNOWN,
  /** No attempt succeeded and no further one is allowed. */
  ATTEMPTS_EXHAUSTED,
  DEADLINE_EXCEEDED
}
