package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.BatchOutcome;
import java.util.ArrayList;
import java.util.List;

/** Lists outcomes of a job's items; an item that is listed already keeps its outcome. */
public record ListBatchResults(String jobId, List<BatchOutcome> outcomes) implements BatchCommand {
  public ListBatchResults {
    outcomes = new ArrayList<>(outcomes);
  }
}
