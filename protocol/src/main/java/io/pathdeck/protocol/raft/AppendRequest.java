package io.pathdeck.protocol.raft;

import java.util.List;

/** Replicates entries; without entries it is a heartbeat. */
public record AppendRequest(
    RaftHeader header,
    long previousIndex,
    long previousTerm,
    List<LogEntry> entries,
    long commitIndex,
    long sentAtMs)
    implements RaftMessage {}
