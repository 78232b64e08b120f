package io.pathdeck.control;

import io.pathdeck.protocol.raft.LogRecord;
import java.util.List;

/** Records of one group and what to report when they are durable. */
public record StorageBatch(List<LogRecord> records, ControllerEvent.SyncedGroup synced) {}
