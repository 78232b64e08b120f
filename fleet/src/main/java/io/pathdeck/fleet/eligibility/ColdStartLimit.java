package io.pathdeck.fleet.eligibility;

import io.pathdeck.protocol.fleet.EngineInstance;

/** Limits the requests that this process sends to cold engines; confined to one thread. */
public interface ColdStartLimit {
  /** Engines are never cold. */
  ColdStartLimit NONE =
      new ColdStartLimit() {
        @Override
        public boolean allows(EngineInstance engine, long nowMs) {
          return true;
        }

        @Override
        public void onStart(EngineInstance engine, long nowMs) {}
      };

  /** Whether this process may send the engine one more request now. */
  boolean allows(EngineInstance engine, long nowMs);

  /** Counts a request that this process sends to the engine. */
  void onStart(EngineInstance engine, long nowMs);
}
