package io.pathdeck.serving.engine;

import io.pathdeck.protocol.model.EngineSpec;

/** Runs generation requests on engines and hides the engines' protocol. */
public interface EngineClient {

  /** A running call. */
  interface Call {
    /** Cancels the call, which frees its slot on the engine; the listener gets no more events. */
    void cancel();
  }

  /** Starts a call; {@code listener} receives its events on a network thread. */
  Call start(EngineSpec engine, EngineRequest request, AttemptListener listener);
}
