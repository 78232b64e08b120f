package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineResponse;

/**
 * Receives the events of one call on the event loop; {@code onEnd}, {@code onEndByClose}, {@code
 * onClose} or {@code onFailure} is the last.
 */
public interface EngineListener {
  /**
   * Whether the receiver checks that the body of a successful response consists of events. Other
   * bodies are searched for responses within, whatever their content type.
   */
  default boolean checksEvents() {
    return false;
  }

  /** The head of the response arrived. */
  void onHead(EngineResponse response);

  /** A part of the response body arrived. */
  void onBody(byte[] part);

  /** The response is complete. */
  void onEnd();

  /**
   * The response is complete, as far as the end of its connection tells: it has neither a length
   * nor chunks, and the engine has not crashed.
   */
  default void onEndByClose() {
    onEnd();
  }

  /**
   * The connection closed, and with it a response that has neither a length nor chunks. It is
   * complete only if the engine closed the connection on purpose and did not crash.
   */
  default void onClose() {
    onFailure(EngineFailure.CONNECTION_ENDED, "the connection closed; the answer may be cut off");
  }

  /** The call failed; no complete response will arrive. */
  void onFailure(EngineFailure failure, String reason);
}
