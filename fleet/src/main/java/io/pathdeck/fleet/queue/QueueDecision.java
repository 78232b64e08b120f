package io.pathdeck.fleet.queue;

/** Tells the gateway how to proceed with a request. */
public sealed interface QueueDecision {
  /** Send the request to an engine now. */
  record Send() implements QueueDecision {}

  /** Hold the request until an engine has a free slot, at most until {@code untilMs}. */
  record Hold(long untilMs) implements QueueDecision {}

  /** Reject the request: its deadline passes before an engine can start it. */
  record Reject(long expectedWaitMs) implements QueueDecision {}
}
