package io.pathdeck.protocol.command;

import io.pathdeck.protocol.legacy.BatchProgressV2;
import java.util.ArrayList;
import java.util.List;

/** A {@link RecordBatchProgress} with texts in place of data, from the log of older versions. */
public record RecordBatchProgressV2(List<BatchProgressV2> progress) implements BatchCommand {
  public RecordBatchProgressV2 {
    progress = new ArrayList<>(progress);
  }
}
