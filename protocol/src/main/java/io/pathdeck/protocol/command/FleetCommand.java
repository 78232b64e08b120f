package io.pathdeck.protocol.command;

/** A command of the group that keeps the fleet's configuration. */
public sealed interface FleetCommand extends Command
    permits PutRouteTable,
        PutRouteTableV1,
        FoundJobsGroups,
        FoundJobsGroupsInRegions,
        SetStoreLeaving,
        QuarantineRequests,
        ReleaseRequests,
        CountQuarantineTrial,
        SetZoneEvacuated {}
