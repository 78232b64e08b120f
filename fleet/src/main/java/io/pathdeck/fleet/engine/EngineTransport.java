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

    /** Stops reading the response; the caller must bound the pause, since engines time out. */
    default void pauseReading() {}

    /** Resumes reading the response. */
    default void resumeReading() {}
  }

  /** Starts a call; must run on the event loop. */
  Handle start(EngineCall call, EngineListener listener);
}
