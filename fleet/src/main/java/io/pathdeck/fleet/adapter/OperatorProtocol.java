package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;

/** Reads operators' calls and writes answers for them. */
public interface OperatorProtocol {
  /** What the exchange asks for. */
  OperatorRequest read(HttpExchange exchange);

  /** The answer to how far a store is emptied. */
  byte[] writeRetirement(boolean done);
}
