package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineCall;

/** Sends calls to engines. */
public interface EngineTransport {

  /** A call in progress. */
  interface Handle {
    /**
     * Cancels the call and closes the connection that carries it; the listener receives nothing
     * more.
     */
    void cancel();

    /**
     * Stops reading the response. The caller must resume within seconds, because engines abort
     * responses that they cannot write.
     */
    default void pauseReading() {}

    /**
     * Whether the call is to show whether it crashes engines; until it has, it should not be
     * canceled in favor of other calls.
     */
    default boolean awaitsVerdict() {
      return false;
    }

    /** Resumes reading the response; no effect if it is not paused or the call is done. */
    default void resumeReading() {}
  }

  /** Starts a call; must be called on the event loop. */
  Handle start(EngineCall call, EngineListener listener);
}
