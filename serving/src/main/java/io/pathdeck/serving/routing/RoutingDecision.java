package io.pathdeck.serving.routing;

import io.pathdeck.protocol.model.EngineSpec;

/** A decision of the routing core. */
public sealed interface RoutingDecision {
  long requestId();

  /** Starts an attempt on an engine; attempts of a request are numbered from 1. */
  record StartAttempt(long requestId, int attempt, EngineSpec engine) implements RoutingDecision {}

  /** Cancels the running attempt. */
  record CancelAttempt(long requestId, int attempt) implements RoutingDecision {}

  /** Refuses the request without running it; the caller may retry later. */
  record Refuse(long requestId, RefusalReason reason, long retryAfterMs)
      implements RoutingDecision {}

  /** Fails the request without further attempts. */
  record Fail(long requestId, FailureReason reason, boolean mayHaveRun)
      implements RoutingDecision {}
}
