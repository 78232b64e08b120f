package io.pathdeck.fleet.eligibility;

import io.pathdeck.protocol.fleet.EngineInstance;

/** Limits the requests that this process sends to cold engines; confined to one thread. */
public interface ColdStartLimit {
  /** Engines are never cold. */
  ColdStartLimit NONE = (engine, nowMs) -> true;

  /** Whether this process may send the engine one more request now. */
  boolean allows(EngineInstance engine, long nowMs);

  /** Whether the engine may get fewer requests while it is cold. */
  default boolean appliesTo(EngineInstance engine) {
    return false;
  }

  /** Counts a request that this process sends to the engine. */
  default void onStart(EngineInstance engine, long nowMs) {}

  /** Applies how much longer the engine is cold, as it says itself; 0 if it is warm. */
  default void onColdTold(EngineInstance engine, long coldLeftMs, long nowMs) {}

  /** Applies when the life of the engine that has just sent a report began. */
  default void onReport(EngineInstance engine, long bornMs, long nowMs) {}

  /** Applies that the engine is down; it is cold when it comes back. */
  default void onDown(EngineInstance engine, long nowMs) {}

  /**
   * Returns how many requests this process could send the engine from now until {@code untilMs}.
   */
  default int sendsAllowedUntil(EngineInstance engine, long untilMs, long nowMs) {
    return allows(engine, nowMs) ? Integer.MAX_VALUE : 0;
  }
}
