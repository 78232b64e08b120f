package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.TenantUse;
import java.util.ArrayList;
import java.util.List;

/**
 * A process reports itself and what it knows; the answer brings what it lacks.
 *
 * @param mayFound whether the process was part of the first start of the whole system
 * @param routeVersion the version of the configuration that it has
 * @param engineEpoch the leadership that {@code engineSequence} belongs to
 * @param engineSequence up to where it knows the list of engines
 * @param processEpoch the leadership that {@code processSequence} belongs to
 * @param processSequence up to where it knows the list of processes
 * @param jobsGroup set by the leader of a jobs group
 * @param quarantineVersion the version of the list of requests in quarantine that it has
 * @param evacuationVersion the version of the evacuated zones that it has
 * @param tenantUse what a gateway has admitted of limited tenants
 */
public record FleetHeartbeat(
    FleetProcess sender,
    boolean mayFound,
    long routeVersion,
    long engineEpoch,
    long engineSequence,
    long processEpoch,
    long processSequence,
    JobsGroupReport jobsGroup,
    long quarantineVersion,
    long evacuationVersion,
    List<TenantUse> tenantUse)
    implements Message {
  public FleetHeartbeat {
    tenantUse = new ArrayList<>(tenantUse);
  }
}
