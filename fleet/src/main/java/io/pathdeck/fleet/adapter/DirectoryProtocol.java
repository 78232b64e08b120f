package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Optional;

/** Parses queries for the addresses of gateways and encodes the responses. */
public interface DirectoryProtocol {

  /** A query; {@code zone} is empty if not given. */
  record Query(String zone) {}

  /** Parses the query of an exchange; empty if it is not a query. */
  Optional<Query> read(HttpExchange exchange);

  /** Encodes addresses and how long they are valid. */
  byte[] write(List<String> addresses, long validSeconds);
}
