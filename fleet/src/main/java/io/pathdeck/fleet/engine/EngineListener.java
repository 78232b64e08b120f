package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineResponse;

/** Hears of one call, on the event loop. After an end or a failure nothing follows. */
public interface EngineListener {
  /** The head of the answer to this call. */
  void onHead(EngineResponse answer);

  /** Bytes of the answer's body. */
  void onBody(byte[] part);

  /** The answer is whole. */
  void onEnd();

  /** No whole answer will come. */
  void onFailure(EngineFailure failure, String reason);
}
