package io.pathdeck.protocol.command;

/** What a state machine answers to a command. */
public sealed interface CommandResult
    permits BatchAccepted,
        ClaimExists,
        ClaimGranted,
        DeclarationApplied,
        Done,
        EvacuatedZonesHeld,
        FileStored,
        ItemsLeased,
        JobAccepted,
        KeyReserved,
        QuotaExceeded,
        RouteTableHeld,
        LeasesRenewed,
        Rejected,
        ResultsCommitted,
        VersionConflict {}
