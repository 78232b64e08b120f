package io.pathdeck.fleet.adapter;

import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Optional;

/** Reads and answers the question where to go. */
public interface DirectoryProtocol {

  /** Where the asker stands; empty when it does not say. */
  record Query(String zone) {}

  /** What the exchange asks; empty when it is another call. */
  Optional<Query> read(HttpExchange exchange);

  /** The answer: addresses and how long they may be used. */
  byte[] write(List<String> addresses, long validSeconds);
}
