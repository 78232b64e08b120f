package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Optional;

/** Parses queries for the addresses of gateways and encodes the responses. */
public interface DirectoryProtocol {

  /** A query from a caller; {@code zone} is the caller's zone, empty if not given. */
  record Query(String zone) {}

  /** Parses a query; empty for other calls. */
  Optional<Query> read(HttpExchange exchange);

  /** Encodes addresses and how long callers may use them. */
  byte[] write(List<String> addresses, long validSeconds);
}
