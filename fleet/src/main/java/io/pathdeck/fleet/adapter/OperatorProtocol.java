package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;

/** Parses the requests of operators and encodes responses to them. */
public interface OperatorProtocol {
  /** Parses the request of an exchange. */
  OperatorRequest read(HttpExchange exchange);

  /** Encodes whether a store has been retired. */
  byte[] writeRetirement(boolean done);
}
