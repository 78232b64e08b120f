package io.pathdeck.protocol.query;

/** What a state machine answers to a query. */
public sealed interface QueryResult
    permits BacklogResult,
        BatchItemBody,
        BatchMissing,
        BatchResults,
        DeclarationResult,
        FileResult,
        JobListResult,
        JobResult,
        LinesResult,
        NotFound,
        RouteTableResult {}
