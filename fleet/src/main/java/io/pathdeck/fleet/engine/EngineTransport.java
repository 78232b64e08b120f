package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineCall;

/** The way to engines. */
public interface EngineTransport {

  /** A call under way. */
  interface Handle {
    /** Gives the call up; nothing is reported afterwards and the engine sees its caller leave. */
    void cancel();

    /** Reads the answer no further for now; bounded by the caller, since engines cut off. */
    default void pauseReading() {}

    /** Reads the answer on. */
    default void resumeReading() {}
  }

  /** Starts a call; to be used on the event loop. */
  Handle start(EngineCall call, EngineListener listener);
}
