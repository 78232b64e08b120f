package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.raft.GroupConfiguration;
import java.util.List;

/** The whole state of the fleet's configuration group. */
public record FleetRecord(
    long clockMs,
    RouteTable table,
    GroupConfiguration jobsFounders,
    List<SetStoreLeaving> leaving) {}
