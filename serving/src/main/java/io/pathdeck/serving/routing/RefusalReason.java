package io.pathdeck.serving.routing;

/** The reason for refusing a request without running it. */
public enum RefusalReason {
  RATE_LIMITED,
  CONCURRENCY_LIMITED,
  NO_ENGINE,
  ENGINES_FULL
}
