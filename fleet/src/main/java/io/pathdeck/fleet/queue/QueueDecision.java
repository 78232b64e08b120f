package io.pathdeck.fleet.queue;

/** The decision on a request. */
public sealed interface QueueDecision {
  /** The request is sent to an engine now. */
  record Send() implements QueueDecision {}

  /** The request is held until an engine has a free slot, at most until {@code untilMs}. */
  record Wait(long untilMs) implements QueueDecision {}

  /** The request is rejected: its deadline will pass before an engine can take it. */
  record Reject(long expectedWaitMs) implements QueueDecision {}
}
