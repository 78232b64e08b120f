package io.pathdeck.serving.routing;

import io.pathdeck.protocol.model.EngineSpec;

/** What the routing core decides. */
public sealed interface RoutingDecision {
  /** The request concerned. */
  long requestId();

  /** Start an attempt on an engine; attempts of a request are numbered from 1. */
  record StartAttempt(long requestId, int attempt, EngineSpec engine) implements RoutingDecision {}

  /** Stop the running attempt. */
  record CancelAttempt(long requestId, int attempt) implements RoutingDecision {}

  /** The request is not run; the caller may come back later. */
  record Refuse(long requestId, RefusalReason reason, long retryAfterMs)
      implements RoutingDecision {}

  /** The request has failed for good. */
  record Fail(long requestId, FailureReason reason, boolean mayHaveRun)
      implements RoutingDecision {}
}
