package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import java.util.List;

/** A batch job with the results listed so far and the progress of its open items. */
public record BatchJobRecord(
    SubmitBatch submission,
    long submittedAtMs,
    boolean ended,
    List<BatchResult> results,
    List<BatchProgress> progress) {}
