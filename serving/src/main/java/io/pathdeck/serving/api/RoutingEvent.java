package io.pathdeck.serving.api;

import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.EngineLoad;

/** An event for the routing duty. */
public sealed interface RoutingEvent {
  /** A request arrived. */
  record Arrived(OnlineRequest request) implements RoutingEvent {}

  /** An attempt delivered the complete response. */
  record Completed(long requestId, int attempt) implements RoutingEvent {}

  /** An attempt failed. */
  record Failed(long requestId, int attempt, AttemptFailure failure) implements RoutingEvent {}

  /** The caller disconnected or is too slow. */
  record Cancelled(long requestId) implements RoutingEvent {}

  /** An engine reported its load. */
  record LoadReported(String engine, EngineLoad load) implements RoutingEvent {}
}
