package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;

/** A decision of the dispatch core. */
public sealed interface DispatchDecision {

  /** Leases items of a tenant from a partition. */
  record Lease(int partition, String service, String tenant, int count)
      implements DispatchDecision {}

  /** Reads the backlog of a service from a partition. */
  record ReadBacklog(int partition, String service) implements DispatchDecision {}

  /** Starts or resumes an item on an engine. */
  record StartItem(ItemKey item, EngineSpec engine) implements DispatchDecision {}

  /** Stops an item's attempt; its generated tokens are kept. */
  record PreemptItem(ItemKey item) implements DispatchDecision {}

  /** Queries an engine for its load. */
  record ProbeLoad(EngineSpec engine) implements DispatchDecision {}

  /** Stores an error as the item's result. */
  record FailItem(ItemKey item, String code, String message) implements DispatchDecision {}
}
