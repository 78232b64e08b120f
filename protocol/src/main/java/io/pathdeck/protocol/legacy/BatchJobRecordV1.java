package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import java.util.List;

/** A {@link BatchJobRecord} whose progress has no origin. */
public record BatchJobRecordV1(
    SubmitBatch submission,
    long submittedAtMs,
    boolean ended,
    List<BatchResult> results,
    List<BatchProgressV1> progress) {
  /** Converts to the current form. */
  public BatchJobRecord toCurrent() {
    return new BatchJobRecord(
        submission,
        submittedAtMs,
        ended,
        results,
        progress.stream().map(BatchProgressV1::toCurrent).toList());
  }
}
