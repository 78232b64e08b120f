package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.JobsGroupFounders;
import java.util.ArrayList;
import java.util.List;

/** Names the groups that keep batch jobs and their first members; only the first one counts. */
public record FoundJobsGroups(List<JobsGroupFounders> groups) implements FleetCommand {
  public FoundJobsGroups {
    groups = new ArrayList<>(groups);
  }
}
