package io.pathdeck.fleet.adapter;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.serving.http.HttpExchange;
import java.util.List;

/** Reads callers' requests and writes answers for them. */
public interface CallerProtocol {
  /** What the exchange asks for. */
  CallerRequest read(HttpExchange exchange);

  /** The path of the readiness check. */
  String readinessPath();

  /** The items of a batch job, or why they cannot be read. */
  Result<List<BatchItem>, String> readItems(byte[] body);

  /** Results as JSON. */
  byte[] writeResults(BatchResults results);
}
