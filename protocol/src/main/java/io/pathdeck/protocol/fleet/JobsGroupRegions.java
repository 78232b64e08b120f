package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The regions of the first members of a group that keeps batch jobs.
 *
 * @param group the number of the group, from 1
 */
public record JobsGroupRegions(int group, List<String> regions) {
  public JobsGroupRegions {
    regions = new ArrayList<>(regions);
  }
}
