package io.pathdeck.control;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.storage.RecoveredGroups;

/** Reports what replicas recovered from their disks. */
final class RecoveryEvents {
  private static final EventLog EVENTS = EventLog.of(RecoveryEvents.class);

  private RecoveryEvents() {}

  static void log(
      RaftReplica replica, int group, long snapshotIndex, RecoveredGroups.Summary summary) {
    EVENTS.log(
        EventCode.STATE_RECOVERED,
        "group",
        group,
        "snapshot",
        snapshotIndex,
        "first",
        summary.firstIndex(),
        "last",
        replica.lastIndex(),
        "term",
        replica.term(),
        "gaps",
        summary.gaps(),
        "bytes_dropped",
        summary.bytesDropped(),
        "files_synced",
        summary.filesSynced());
  }
}
