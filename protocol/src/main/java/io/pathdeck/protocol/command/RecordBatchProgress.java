package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.BatchProgress;
import java.util.ArrayList;
import java.util.List;

/** Records what runs of items brought so far, so that a new leader goes on after it. */
public record RecordBatchProgress(List<BatchProgress> progress) implements BatchCommand {
  public RecordBatchProgress {
    progress = new ArrayList<>(progress);
  }
}
