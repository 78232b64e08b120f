package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.queue.Rank;
import java.util.List;
import java.util.Set;

/** A request that is to be sent to an engine, at once or after it has waited for room. */
interface Dispatchable {
  /**
   * What decides when and in which order requests are sent.
   *
   * @param tenant whose share of the engines it uses; empty when callers have no tenants
   * @param dueMs when its answer should begin
   * @param deadlineMs when its caller leaves
   * @param bytes what it occupies in memory while it waits
   * @param work how much of an engine it needs, compared with other requests
   * @param mayBeRejected whether it surely has not run and nothing of an answer was sent
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

  /** What it needs now; it changes between sends. */
  DispatchAttributes attributes();

  /** The engines that had the request already. */
  Set<String> triedEngineIds();

  /** Sends it to the best of the engines; there may be none. */
  void sendTo(List<EngineState> candidates);

  /** Tells its caller that it was not sent and when to come back. */
  void reject(String reason, long retryAfterMs);
}
