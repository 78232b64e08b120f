package io.pathdeck.protocol.raft;

/** A record of the durable log. */
public sealed interface LogRecord
    permits BootstrapRecord, EntryRecord, HardStateRecord, ResetRecord {
  /** The group the record belongs to. */
  int group();
}
