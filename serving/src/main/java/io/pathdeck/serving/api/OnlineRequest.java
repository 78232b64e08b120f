package io.pathdeck.serving.api;

import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.routing.RoutableRequest;

/**
 * An active online request. The routing duty starts its attempts sequentially; their events arrive
 * on a network thread and are ignored after the attempt is superseded.
 */
public final class OnlineRequest {
  final RoutableRequest routable;
  final GenerationRequest generation;
  final ResponseWriter writer;
  final long arrivedAtNs;

  /** The number of the running attempt, or 0. */
  volatile int runningAttempt;

  /** The number of tokens passed to the writer by all attempts. */
  volatile int deliveredTokens;

  volatile boolean eventsDelivered;

  /** The call of the running attempt; confined to the routing duty. */
  EngineClient.Call call;

  /** Whether an attempt may have run; confined to the routing duty. */
  boolean mayHaveRun;

  /** Creates a request without attempts. */
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
