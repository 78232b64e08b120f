package io.pathdeck.protocol.raft;

/** An appended entry; it replaces all entries from its index on. */
public record EntryRecord(int group, LogEntry entry) implements LogRecord {}
