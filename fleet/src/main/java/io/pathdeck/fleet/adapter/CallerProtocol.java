package io.pathdeck.fleet.adapter;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.serving.http.HttpExchange;
import java.util.List;

/** Parses the requests of callers and encodes responses to them. */
public interface CallerProtocol {
  /** Parses a request; returns {@link CallerRequest.Malformed} if it is invalid. */
  CallerRequest read(HttpExchange exchange);

  /** Returns the path at which callers check whether a gateway is ready. */
  String readinessPath();

  /** Parses the items of a batch job, or returns an error message. */
  Result<List<BatchItem>, String> readItems(byte[] body);

  /** Encodes the results of a batch job as JSON. */
  byte[] writeResults(BatchResults results);
}
