package io.pathdeck.serving.api;

import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.routing.RoutableRequest;

/**
 * An online request in progress. The routing duty starts attempts one after the other; the running
 * attempt's events come on a network thread and are dropped once the attempt is superseded.
 */
public final class OnlineRequest {
  final RoutableRequest routable;
  final GenerationRequest generation;
  final ResponseWriter writer;
  final long arrivedAtNs;

  /** The number of the running attempt; 0 when none runs. */
  volatile int runningAttempt;

  /** Tokens passed to the writer by all attempts. */
  volatile int deliveredTokens;

  /** Whether any event was passed to the writer. */
  volatile boolean eventsDelivered;

  /** The call of the running attempt; used by the routing duty only. */
  EngineClient.Call call;

  /** Whether an attempt may have run; used by the routing duty only. */
  boolean mayHaveRun;

  /** A request that has just arrived. */
  public OnlineRequest(
      RoutableRequest routable,
      GenerationRequest generation,
      ResponseWriter writer,
      long arrivedAtNs) {
    this.routable = routable;
    this.generation = generation;
    this.writer = writer;
    this.arrivedAtNs = arrivedAtNs;
  }
}
