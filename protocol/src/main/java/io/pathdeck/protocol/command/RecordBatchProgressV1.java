package io.pathdeck.protocol.command;

import io.pathdeck.protocol.legacy.BatchProgressV1;
import java.util.ArrayList;
import java.util.List;

/** A {@link RecordBatchProgress} without origins, from the log of older versions. */
public record RecordBatchProgressV1(List<BatchProgressV1> progress) implements BatchCommand {
  public RecordBatchProgressV1 {
    progress = new ArrayList<>(progress);
  }
}
