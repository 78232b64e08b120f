package io.pathdeck.fleet.coordinator;

import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides up to which size a store may complete a jobs group, by their regions.
 *
 * <p>Stores of the group's regions complete it to the target size. A store of another region joins
 * a group of one region only while the group is too small for the tolerated losses, and never a
 * group whose jobs may not be stored in that region.
 */
final class ReplacementPolicy {
  private static final int NO_PLACE = 0;

  private final int targetSize;
  private final int minSize;
  private final Topology topology;
  private List<JobsGroupRegions> regionsOfGroups = List.of();
  private Optional<RouteTable> routes = Optional.empty();

  /**
   * Creates a policy.
   *
   * @param targetSize number of members that a group should have
   * @param minSize minimum size of a group that tolerates the configured losses
   */
  ReplacementPolicy(int targetSize, int minSize, Topology topology) {
    this.targetSize = targetSize;
    this.minSize = minSize;
    this.topology = topology;
  }

  /** Creates a policy for a fleet without regions. */
  static ReplacementPolicy withoutRegions(int targetSize) {
    return new ReplacementPolicy(targetSize, targetSize, Topology.UNKNOWN);
  }

  /** The minimum size of a group that tolerates the configured losses. */
  int minSize() {
    return minSize;
  }

  /** Sets the regions of the groups and the routes in force. */
  void update(List<JobsGroupRegions> newRegionsOfGroups, Optional<RouteTable> newRoutes) {
    regionsOfGroups = newRegionsOfGroups;
    routes = newRoutes;
  }

  /** Whether the store stands in a region of the group; true if the group's regions are unknown. */
  boolean isInRegionOf(int group, FleetProcess store) {
    List<String> regions = regionsOf(group);
    return regions.isEmpty() || regions.contains(topology.regionOf(store.zone()));
  }

  /** Returns the number of members below which the store may join the group. */
  int sizeFor(int group, FleetProcess store) {
    if (isInRegionOf(group, store)) {
      return targetSize;
    }
    List<String> regions = regionsOf(group);
    if (!mayHoldJobsOf(regions, topology.regionOf(store.zone()))) {
      return NO_PLACE;
    }
    return regions.size() == 1 ? minSize : targetSize;
  }

  private List<String> regionsOf(int group) {
    return regionsOfGroups.stream()
        .filter(regions -> regions.group() == group)
        .findFirst()
        .map(JobsGroupRegions::regions)
        .orElse(List.of());
  }

  /** Whether all jobs that a group of these regions may hold may be stored in {@code region}. */
  private boolean mayHoldJobsOf(List<String> groupRegions, String region) {
    return routes.stream()
        .flatMap(ReplacementPolicy::statedRegions)
        .map(AllowedRegions::of)
        .allMatch(allowed -> !allowed.allowsAll(groupRegions) || allowed.allows(region));
  }

  private static Stream<List<String>> statedRegions(RouteTable table) {
    return Stream.concat(
        table.routes().stream()
            .filter(route -> route.kind() == RouteKind.BATCH)
            .map(route -> route.allowedRegions()),
        table.tenants().stream().map(tenant -> tenant.allowedRegions()));
  }
}
