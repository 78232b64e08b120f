package io.pathdeck.protocol.raft;

/** The log of the group was replaced by a snapshot: earlier entries are void. */
public record ResetRecord(int group, long snapshotIndex) implements LogRecord {}
