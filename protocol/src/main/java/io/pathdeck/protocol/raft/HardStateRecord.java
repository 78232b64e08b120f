package io.pathdeck.protocol.raft;

/** The term and vote of a replica. */
public record HardStateRecord(int group, long term, int votedFor) implements LogRecord {}
