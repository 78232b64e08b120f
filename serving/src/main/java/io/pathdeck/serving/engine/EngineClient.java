package io.pathdeck.serving.engine;

import io.pathdeck.protocol.model.EngineSpec;

/**
 * Runs generation requests on engines. Everything specific to the engines' protocol is behind it.
 */
public interface EngineClient {

  /** A running call. */
  interface Call {
    /** Stops the call; the engine frees its place. Nothing is reported afterwards. */
    void cancel();
  }

  /** Starts a call; {@code listener} hears of it on a network thread. */
  Call start(EngineSpec engine, EngineRequest request, AttemptListener listener);
}
