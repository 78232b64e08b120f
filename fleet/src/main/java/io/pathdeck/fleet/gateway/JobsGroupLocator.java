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

/**
 * Locates the consensus group that stores a batch job, and provides a client for it. Thread-safe.
 */
final class JobsGroupLocator {
  /**
   * A consensus group that stores batch jobs.
   *
   * @param group its index
   * @param count how many groups store jobs
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
  private final Map<Integer, GroupClient> clients = new ConcurrentHashMap<>();

  JobsGroupLocator(PeerPool pool, RetryTimer timer, Supplier<FleetView> view) {
    this.pool = pool;
    this.timer = timer;
    this.view = view;
  }

  /** Returns the group that stores a job; empty until the number of groups is known. */
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
