package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.queue.Rank;
import java.util.List;
import java.util.Set;

/** A request to be sent to an engine, immediately or from a queue. */
interface Dispatchable {
  /**
   * Determines when and in which order requests are sent.
   *
   * @param tenant whose share of the engines the request uses; empty if callers have no tenants
   * @param dueMs when its response should start
   * @param deadlineMs when its caller stops waiting
   * @param bytes the memory that it occupies while queued
   * @param work its cost for an engine, relative to other requests
   * @param mayBeRejected whether it has certainly not run and no part of a response was sent
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

  /** Returns the ids of the engines that the request was already sent to. */
  Set<String> triedEngineIds();

  /** Sends the request to the best of the candidates, of which there may be none. */
  void sendTo(List<EngineState> candidates);

  /** Tells the caller that the request was not sent and when to retry. */
  void reject(String reason, long retryAfterMs);
}
