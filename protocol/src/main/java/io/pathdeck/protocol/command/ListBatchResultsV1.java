package io.pathdeck.protocol.command;

import io.pathdeck.protocol.legacy.BatchOutcomeV1;
import java.util.ArrayList;
import java.util.List;

/** A {@link ListBatchResults} with texts in place of data, from the log of older versions. */
public record ListBatchResultsV1(String jobId, List<BatchOutcomeV1> outcomes)
    implements BatchCommand {
  public ListBatchResultsV1 {
    outcomes = new ArrayList<>(outcomes);
  }
}
