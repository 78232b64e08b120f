package io.pathdeck.fleet.queue;

/** What happens to a request now. */
public sealed interface QueueDecision {
  /** It goes to an engine now. */
  record Send() implements QueueDecision {}

  /** It waits for room, until the given time at most. */
  record Wait(long untilMs) implements QueueDecision {}

  /** Its caller's time will be over before an engine can take it. */
  record Reject(long expectedWaitMs) implements QueueDecision {}
}
