package io.pathdeck.protocol.query;

/** A linearizable read of a replicated state machine. */
public sealed interface Query
    permits ReadBacklog, ListJobs, ReadDeclaration, ReadFile, ReadFileLines, ReadJob, ReadResults {}
