package io.pathdeck.serving.routing;

/** Why a request was refused without being run. */
public enum RefusalReason {
  RATE_LIMITED,
  CONCURRENCY_LIMITED,
  NO_ENGINE,
  ENGINES_FULL
}
