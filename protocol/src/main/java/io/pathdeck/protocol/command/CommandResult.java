package io.pathdeck.protocol.command;

/** What a state machine answers to a command. */
public sealed interface CommandResult
    permits ClaimExists,
        ClaimGranted,
        DeclarationApplied,
        Done,
        FileStored,
        ItemsLeased,
        JobAccepted,
        KeyReserved,
        LeasesRenewed,
        Rejected,
        ResultsCommitted,
        VersionConflict {}
