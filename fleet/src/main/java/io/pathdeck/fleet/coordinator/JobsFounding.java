package io.pathdeck.fleet.coordinator;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.command.FleetCommand;
import io.pathdeck.protocol.command.FoundJobsGroups;
import io.pathdeck.protocol.command.FoundJobsGroupsInRegions;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The jobs groups to found, with the regions of each.
 *
 * <p>A group within one region commits without waiting for another region and sends no copies
 * there. So every region whose stores suffice for the tolerated losses forms its own groups, and
 * the other stores wait as replacements. Only if no region has enough, groups span regions.
 *
 * @param regions the regions of each group; empty in a fleet without several regions
 */
record JobsFounding(List<JobsGroupFounders> groups, List<JobsGroupRegions> regions) {

  /**
   * Forms the groups.
   *
   * @param minGroupSize minimum size of a group that tolerates the configured losses
   * @param toleratedZones how many zones may be lost at once
   */
  static JobsFounding of(
      Collection<FleetProcess> stores, int minGroupSize, int toleratedZones, Topology topology) {
    if (!topology.hasSeveralRegions()) {
      return new JobsFounding(JobsGroupFounding.form(stores, minGroupSize), List.of());
    }
    List<JobsGroupFounders> groups = new ArrayList<>();
    for (String region : topology.regions()) {
      List<FleetProcess> ofRegion =
          stores.stream().filter(store -> topology.regionOf(store.zone()).equals(region)).toList();
      if (ofRegion.size() >= minGroupSize) {
        JobsGroupFounding.form(ofRegion, minGroupSize).stream()
            .filter(group -> keepsQuorum(group, ofRegion, toleratedZones))
            .forEach(group -> groups.add(numbered(groups.size() + 1, group)));
      }
    }
    if (groups.isEmpty()) {
      groups.addAll(JobsGroupFounding.form(stores, minGroupSize));
    }
    return new JobsFounding(
        groups, groups.stream().map(group -> regionsOf(group, stores, topology)).toList());
  }

  private static JobsGroupFounders numbered(int number, JobsGroupFounders group) {
    return new JobsGroupFounders(number, group.configuration());
  }

  /** Whether a majority remains after the loss of the zones with the most members. */
  private static boolean keepsQuorum(
      JobsGroupFounders group, Collection<FleetProcess> stores, int lostZones) {
    Map<String, Long> membersByZone =
        members(group, stores).stream()
            .collect(Collectors.groupingBy(FleetProcess::zone, Collectors.counting()));
    long remaining =
        membersByZone.values().stream()
            .sorted()
            .limit(Math.max(0, membersByZone.size() - lostZones))
            .mapToLong(Long::longValue)
            .sum();
    return 2 * remaining > group.configuration().members().size();
  }

  private static JobsGroupRegions regionsOf(
      JobsGroupFounders group, Collection<FleetProcess> stores, Topology topology) {
    TreeSet<String> regions = new TreeSet<>();
    members(group, stores).forEach(store -> regions.add(topology.regionOf(store.zone())));
    return new JobsGroupRegions(group.group(), List.copyOf(regions));
  }

  private static List<FleetProcess> members(
      JobsGroupFounders group, Collection<FleetProcess> stores) {
    List<Integer> ids = group.configuration().members().stream().map(Member::id).toList();
    return stores.stream().filter(store -> ids.contains(store.memberId())).toList();
  }

  /** Returns the command that founds the groups. */
  FleetCommand command() {
    return regions.isEmpty()
        ? new FoundJobsGroups(groups)
        : new FoundJobsGroupsInRegions(groups, regions);
  }
}
