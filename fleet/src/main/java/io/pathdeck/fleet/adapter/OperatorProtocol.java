package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;

/** Parses the requests of operators and encodes responses to them. */
public interface OperatorProtocol {
  /** Parses a request; returns {@link OperatorRequest.Unknown} for other calls. */
  OperatorRequest read(HttpExchange exchange);

  /** Encodes whether a store has been retired. */
  byte[] writeRetirement(boolean retired);

  /** Encodes which zones are evacuated. */
  byte[] writeEvacuations(EvacuationStatus status);
}
