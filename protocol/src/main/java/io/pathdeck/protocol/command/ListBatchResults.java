package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.BatchResult;
import java.util.ArrayList;
import java.util.List;

/** Lists outcomes of a job's items; an item that is listed already keeps its outcome. */
public record ListBatchResults(String jobId, List<BatchResult> results) implements BatchCommand {
  public ListBatchResults {
    results = new ArrayList<>(results);
  }
}
