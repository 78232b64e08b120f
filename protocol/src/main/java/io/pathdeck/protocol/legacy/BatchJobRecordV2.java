package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import java.util.List;

/** A {@link BatchJobRecord} whose progress may lack the data of events with empty values. */
public record BatchJobRecordV2(
    SubmitBatch submission,
    long submittedAtMs,
    boolean ended,
    List<BatchResult> results,
    List<BatchProgressV2> progress) {
  /** Converts to the current form. */
  public BatchJobRecord toCurrent() {
    return new BatchJobRecord(
        submission,
        submittedAtMs,
        ended,
        results,
        progress.stream().map(BatchProgressV2::toCurrent).toList());
  }
}
