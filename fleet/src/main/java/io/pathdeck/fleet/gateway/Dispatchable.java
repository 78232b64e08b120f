package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.queue.Rank;
import java.util.List;

/** A request to be sent to an engine, immediately or from a queue. */
interface Dispatchable {
  /**
   * Attributes of a request that decide when it is sent. Times are instants of the monotonic clock.
   *
   * @param service the service whose engines may run it
   * @param tenant whose share of the engines it uses; empty if callers have no tenants
   * @param rank its place in the queue relative to other requests
   * @param dueMs when its response should start
   * @param deadlineMs when its caller stops waiting
   * @param bytes the memory that it occupies while queued
   * @param work its estimated cost in output tokens
   * @param mayBeRejected true if it cannot have run and no part of a response was sent
   */
  record DispatchAttributes(
      String service,
      String tenant,
      Rank rank,
      long dueMs,
      long deadlineMs,
      long bytes,
      double work,
      boolean mayBeRejected) {}

  /** Returns the current attributes, which change between attempts. */
  DispatchAttributes attributes();

  /** Returns what restricts the engines that the request may be sent to now. */
  RequestConstraints constraints();

  /**
   * Sends the request to the best of {@code candidates}; ends it with an error if there are none.
   */
  void sendTo(List<EngineState> candidates);

  /** Tells the caller that the request did not run and when to retry. */
  void reject(String reason, long retryAfterMs);
}
