package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineResponse;

/**
 * Receives the events of one call on the event loop; {@code onEnd} or {@code onFailure} is the
 * last.
 */
public interface EngineListener {
  /** The head of the response arrived. */
  void onHead(EngineResponse response);

  /** A part of the response body arrived. */
  void onBody(byte[] part);

  /** The response is complete. */
  void onEnd();

  /** The call failed; no complete response will arrive. */
  void onFailure(EngineFailure failure, String reason);
}
