package io.pathdeck.serving.api;

import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.EngineLoad;

/** What the routing duty receives through its ring. */
public sealed interface RoutingEvent {
  /** A request arrived. */
  record Arrived(OnlineRequest request) implements RoutingEvent {}

  /** An attempt delivered the whole answer. */
  record Completed(long requestId, int attempt) implements RoutingEvent {}

  /** An attempt failed. */
  record Failed(long requestId, int attempt, AttemptFailure failure) implements RoutingEvent {}

  /** The caller has gone or is too slow. */
  record Cancelled(long requestId) implements RoutingEvent {}

  /** An engine reported its load. */
  record LoadReported(String engine, EngineLoad load) implements RoutingEvent {}
}
