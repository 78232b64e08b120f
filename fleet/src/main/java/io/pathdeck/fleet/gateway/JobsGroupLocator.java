package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.fleet.member.JobsPlacement;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.protocol.client.RetryTimer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Finds the consensus groups that store batch jobs, and clients for them. Thread-safe. */
final class JobsGroupLocator {
  /**
   * The group of a job.
   *
   * @param group the number of the group
   * @param count the number of groups
   */
  record JobsGroup(int group, int count, GroupClient client) {
    /**
     * Returns the group's share of a limit over all groups; job ids spread jobs evenly.
     *
     * @param limit the limit of all groups together; 0 for no limit
     */
    long shareOf(long limit) {
      return limit <= 0 ? 0 : Math.max(1, limit / count);
    }
  }

  private final PeerPool pool;
  private final RetryTimer timer;
  private final Supplier<FleetView> view;
  private final Map<Integer, GroupClient> clients = new ConcurrentHashMap<>();

  JobsGroupLocator(PeerPool pool, RetryTimer timer, Supplier<FleetView> view) {
    this.pool = pool;
    this.timer = timer;
    this.view = view;
  }

  /** Returns the group that stores a job; empty until a group is known. */
  Optional<JobsGroup> groupOf(String jobId) {
    int count = view.get().jobsFounders().size();
    if (count == 0) {
      return Optional.empty();
    }
    int group = JobsPlacement.groupOf(jobId, count);
    return Optional.of(
        new JobsGroup(group, count, clients.computeIfAbsent(group, this::createClient)));
  }

  private GroupClient createClient(int group) {
    return new GroupClient(pool, timer, () -> view.get().addressesOf(group));
  }
}
