package io.pathdeck.protocol.command;

/** A command of a jobs partition. */
public sealed interface JobsCommand extends Command
    permits AdvanceTime,
        AppendFileChunk,
        CancelJob,
        ClaimRequest,
        CommitResults,
        CompleteClaim,
        CreateFile,
        LeaseItems,
        ReleaseClaim,
        ReleaseItems,
        RenewLeases,
        ReserveKey,
        SealFile,
        SubmitJob {}
