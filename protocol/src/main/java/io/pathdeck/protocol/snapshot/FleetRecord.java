package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.List;

/** The whole state of the fleet's configuration group. */
public record FleetRecord(
    long clockMs,
    RouteTable table,
    List<JobsGroupFounders> jobsFounders,
    List<SetStoreLeaving> leaving) {}
