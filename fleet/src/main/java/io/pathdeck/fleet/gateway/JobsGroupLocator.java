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

/** The ways to the groups that keep batch jobs. Thread-safe. */
final class JobsGroupLocator {
  /**
   * The group of a job.
   *
   * @param group its number
   * @param count how many groups there are
   */
  record JobsGroup(int group, int count, GroupClient client) {
    /**
     * What the group may take of a limit over all groups; jobs are spread evenly by their ids.
     *
     * @param limit the limit of all groups together; 0: no limit
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

  /** The group that keeps a job; empty while this gateway has not heard of any group. */
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
