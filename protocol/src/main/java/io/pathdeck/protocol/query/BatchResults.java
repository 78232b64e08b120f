package io.pathdeck.protocol.query;

import io.pathdeck.protocol.fleet.BatchResult;
import java.util.ArrayList;
import java.util.List;

/**
 * Results of a batch job by position.
 *
 * @param total the number of items
 * @param next the position after the last result returned
 */
public record BatchResults(int total, int next, List<BatchResult> results) implements QueryResult {
  public BatchResults {
    results = new ArrayList<>(results);
  }
}
