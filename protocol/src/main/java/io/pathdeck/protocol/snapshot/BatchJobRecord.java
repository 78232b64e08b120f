package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchResult;
import java.util.List;

/** A batch job with the results listed so far. */
public record BatchJobRecord(
    SubmitBatch submission, long submittedAtMs, boolean ended, List<BatchResult> results) {}
