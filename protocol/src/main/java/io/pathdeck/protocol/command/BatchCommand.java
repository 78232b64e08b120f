package io.pathdeck.protocol.command;

/** A command of a group that keeps batch jobs. */
public sealed interface BatchCommand extends Command
    permits SubmitBatch,
        RecordBatchProgressV1,
        RecordBatchProgressV2,
        RecordBatchProgress,
        DiscardBatchProgress,
        RecordItemCrashes,
        ListBatchResults,
        ListBatchResultsV1,
        EndBatch {}
