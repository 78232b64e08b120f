package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Optional;

/** Parses queries for the addresses of gateways and encodes the responses. */
public interface DirectoryProtocol {

  /**
   * A query from a caller; the parts that it does not give are empty.
   *
   * @param host the host that the caller sends requests to
   * @param region the caller's region
   * @param zone the caller's zone
   */
  record Query(String host, String region, String zone) {}

  /** Parses a query; empty for other calls. */
  Optional<Query> read(HttpExchange exchange);

  /** Encodes addresses and how long callers may use them. */
  byte[] write(List<String> addresses, long validSeconds);
}
