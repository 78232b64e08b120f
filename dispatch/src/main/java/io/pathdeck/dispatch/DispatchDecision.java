package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;

/** What the dispatch core decides. */
public sealed interface DispatchDecision {

  /** Lease items of a tenant from a partition. */
  record Lease(int partition, String service, String tenant, int count)
      implements DispatchDecision {}

  /** Ask a partition for the waiting work of a service. */
  record ReadBacklog(int partition, String service) implements DispatchDecision {}

  /** Start (or continue) an item on an engine. */
  record StartItem(ItemKey item, EngineSpec engine) implements DispatchDecision {}

  /** Stop an item's attempt; what it has generated is kept. */
  record PreemptItem(ItemKey item) implements DispatchDecision {}

  /** Ask an engine for its load. */
  record ProbeLoad(EngineSpec engine) implements DispatchDecision {}

  /** Store an error as the item's result. */
  record FailItem(ItemKey item, String code, String message) implements DispatchDecision {}
}
