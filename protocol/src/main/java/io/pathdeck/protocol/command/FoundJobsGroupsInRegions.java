package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import java.util.ArrayList;
import java.util.List;

/**
 * Names the groups that keep batch jobs, their first members and the regions of these; only the
 * first command that names groups counts.
 */
public record FoundJobsGroupsInRegions(
    List<JobsGroupFounders> groups, List<JobsGroupRegions> regions) implements FleetCommand {
  public FoundJobsGroupsInRegions {
    groups = new ArrayList<>(groups);
    regions = new ArrayList<>(regions);
  }
}
