package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.snapshot.FleetRecord;
import java.util.List;

/** A {@link FleetRecord} with an earlier form of the route table. */
public record FleetRecordV1(
    long clockMs,
    RouteTableV1 table,
    List<JobsGroupFounders> jobsFounders,
    List<SetStoreLeaving> leaving) {
  /** Converts to the current form. */
  public FleetRecord toCurrent() {
    return new FleetRecord(
        clockMs, table == null ? null : table.toCurrent(), jobsFounders, leaving);
  }
}
