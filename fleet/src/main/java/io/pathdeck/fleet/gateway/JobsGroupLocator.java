package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.fleet.member.JobsPlacement;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.client.RetryTimer;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Locates the consensus group that stores a batch job, and provides a client for it. Thread-safe.
 */
final class JobsGroupLocator {
  /**
   * A consensus group that stores batch jobs.
   *
   * @param group its index
   * @param count how many groups store the jobs of the route
   * @param client sends messages to its members
   */
  record JobsGroup(int group, int count, GroupClient client) {
    /**
     * Returns the group's share of a limit on all groups; job ids spread jobs evenly.
     *
     * @param limit the limit on all groups together; 0 for no limit
     */
    long shareOf(long limit) {
      return limit <= 0 ? 0 : Math.max(1, limit / count);
    }
  }

  private final PeerPool pool;
  private final RetryTimer timer;
  private final Supplier<FleetView> view;
  private final Topology topology;
  private final Map<Integer, GroupClient> clients = new ConcurrentHashMap<>();

  JobsGroupLocator(PeerPool pool, RetryTimer timer, Supplier<FleetView> view, Topology topology) {
    this.topology = topology;
    this.pool = pool;
    this.timer = timer;
    this.view = view;
  }

  /** Whether the groups are known. */
  boolean areGroupsKnown() {
    return !view.get().jobsFounders().isEmpty();
  }

  /**
   * Returns the group to store a job; empty if all groups reach beyond the allowed regions, or
   * until the groups are known.
   */
  Optional<JobsGroup> groupFor(String jobId, AllowedRegions allowedRegions) {
    FleetView currentView = view.get();
    int count = currentView.jobsFounders().size();
    List<Integer> permitted =
        currentView.jobsFounders().stream()
            .map(JobsGroupFounders::group)
            .filter(group -> mayStore(group, allowedRegions, currentView))
            .sorted()
            .toList();
    return permitted.isEmpty()
        ? Optional.empty()
        : Optional.of(jobsGroup(JobsPlacement.groupOf(jobId, count, permitted), permitted.size()));
  }

  private boolean mayStore(int group, AllowedRegions allowedRegions, FleetView currentView) {
    if (allowedRegions.anywhere()) {
      return true;
    }
    Collection<String> regions =
        currentView.jobsGroupRegions().stream()
            .filter(known -> known.group() == group)
            .findFirst()
            .<Collection<String>>map(JobsGroupRegions::regions)
            .orElse(topology.regions());
    return !regions.isEmpty() && allowedRegions.allowsAll(regions);
  }

  /**
   * Returns the groups that may hold a job, likeliest first; empty until they are known. Only in a
   * fleet of several regions a job may be in another group than the first.
   */
  List<JobsGroup> groupsThatMayHold(String jobId) {
    FleetView currentView = view.get();
    int count = currentView.jobsFounders().size();
    if (count == 0) {
      return List.of();
    }
    int first = JobsPlacement.groupOf(jobId, count);
    List<JobsGroup> groups = new ArrayList<>(List.of(jobsGroup(first, count)));
    for (JobsGroupRegions other : currentView.jobsGroupRegions()) {
      if (other.group() != first) {
        groups.add(jobsGroup(other.group(), count));
      }
    }
    return groups;
  }

  private JobsGroup jobsGroup(int group, int count) {
    return new JobsGroup(group, count, clients.computeIfAbsent(group, this::createClient));
  }

  private GroupClient createClient(int group) {
    return new GroupClient(pool, timer, () -> view.get().addressesOf(group));
  }
}
