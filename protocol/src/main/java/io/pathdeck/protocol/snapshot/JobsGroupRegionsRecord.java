package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.fleet.JobsGroupRegions;
import java.util.ArrayList;
import java.util.List;

/** The regions of the jobs groups; a snapshot without this record knows none. */
public record JobsGroupRegionsRecord(List<JobsGroupRegions> regions) {
  public JobsGroupRegionsRecord {
    regions = new ArrayList<>(regions);
  }
}
