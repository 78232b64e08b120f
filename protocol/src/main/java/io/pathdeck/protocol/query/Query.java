package io.pathdeck.protocol.query;

/** A linearizable read of a replicated state machine. */
public sealed interface Query
    permits ListJobs,
        ReadBacklog,
        ReadBatchItem,
        ReadBatchResults,
        ReadDeclaration,
        ReadFile,
        ReadFileLines,
        ReadJob,
        ReadResults,
        ReadRouteTable {}
