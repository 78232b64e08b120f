package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.raft.Member;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Assigns stores to jobs groups, on the leading coordinator.
 *
 * <p>Only the groups and their first members are replicated. The leader assigns later stores; a
 * store saves the number of its group on disk and reports it in heartbeats, from which a new leader
 * learns it. Two leaders may assign a store differently: the store keeps the number that it saved
 * first, and one group then has a member more than it needs. A new leader assigns none in its first
 * seconds, so that waiting stores do not replace members that are only starting.
 */
final class JobsGroupRegistry {
  /**
   * How long a group must lack a member before a waiting store replaces it: longer than the restart
   * of a store, which takes 2 to 3 s.
   */
  static final long REPLACEMENT_DELAY_MS = 4_000;

  private final int targetSize;
  private final Map<Integer, JobsGroupReport> reports = new TreeMap<>();
  private final Map<Integer, Integer> assigned = new HashMap<>();
  private final Map<Integer, Long> incompleteSinceMs = new HashMap<>();
  private final Set<Integer> waiting = new HashSet<>();
  private long leaderSinceMs = Long.MIN_VALUE / 2;

  /**
   * Creates an empty registry.
   *
   * @param targetSize number of members that a group should have
   */
  JobsGroupRegistry(int targetSize) {
    this.targetSize = targetSize;
  }

  /** Discards all state, when the leadership of this coordinator begins or ends. */
  void clear(long nowMs) {
    leaderSinceMs = nowMs;
    reports.clear();
    assigned.clear();
    incompleteSinceMs.clear();
    waiting.clear();
  }

  /** Records the report of a group's leader, unless one of a newer term is known. */
  void onReport(JobsGroupReport report) {
    JobsGroupReport known = reports.get(report.group());
    if (known == null || report.term() >= known.term()) {
      reports.put(report.group(), report);
    }
  }

  /** Returns the newest report of each group. */
  List<JobsGroupReport> reports() {
    return List.copyOf(reports.values());
  }

  /**
   * Returns the group that a store belongs to, or {@link FleetProcess#NO_GROUP} if it has to wait.
   *
   * @param founded the groups and their first members
   * @param processes all live processes
   * @param leaving the ids of stores that are being retired
   */
  int groupFor(
      FleetProcess store,
      List<JobsGroupFounders> founded,
      Collection<FleetProcess> processes,
      Set<Integer> leaving,
      long nowMs) {
    if (store.jobsGroup() != FleetProcess.NO_GROUP) {
      return store.jobsGroup();
    }
    if (leaving.contains(store.memberId())) {
      return FleetProcess.NO_GROUP;
    }
    return knownGroupOf(store, founded)
        .orElseGet(() -> assign(store, founded, processes, leaving, nowMs));
  }

  /** Returns the group that a store reports, is a member of, or was assigned to. */
  private Optional<Integer> knownGroupOf(FleetProcess store, List<JobsGroupFounders> founded) {
    if (store.jobsGroup() != FleetProcess.NO_GROUP) {
      return Optional.of(store.jobsGroup());
    }
    return membershipOf(store, founded)
        .or(() -> Optional.ofNullable(assigned.get(store.memberId())));
  }

  /**
   * Returns the group that lists the store as a member, for a store that is new or lost its disk.
   */
  private Optional<Integer> membershipOf(FleetProcess store, List<JobsGroupFounders> founded) {
    for (JobsGroupFounders founders : founded) {
      JobsGroupReport report = reports.get(founders.group());
      Optional<Member> known =
          report == null
              ? founders.configuration().find(store.memberId())
              : report.configuration().find(store.memberId());
      if (known.isPresent()) {
        return Optional.of(founders.group());
      }
    }
    return Optional.empty();
  }

  private int assign(
      FleetProcess store,
      List<JobsGroupFounders> founded,
      Collection<FleetProcess> processes,
      Set<Integer> leaving,
      long nowMs) {
    Map<Integer, Integer> sizes = sizes(founded, processes, leaving);
    updateIncompleteSince(sizes, nowMs);
    Optional<Integer> smallest = sizes.keySet().stream().min(Comparator.comparing(sizes::get));
    if (smallest.isEmpty() || sizes.get(smallest.get()) >= targetSize) {
      waiting.add(store.memberId());
      return FleetProcess.NO_GROUP;
    }
    int group = smallest.get();
    boolean lostMemberMayReturn =
        waiting.contains(store.memberId())
            && nowMs - incompleteSinceMs.get(group) < REPLACEMENT_DELAY_MS;
    boolean membersMayStillStart = nowMs - leaderSinceMs < REPLACEMENT_DELAY_MS;
    if (lostMemberMayReturn || membersMayStillStart) {
      return FleetProcess.NO_GROUP;
    }
    waiting.remove(store.memberId());
    assigned.put(store.memberId(), group);
    return group;
  }

  /** Counts the live stores that each group has or will have, except those being retired. */
  private Map<Integer, Integer> sizes(
      List<JobsGroupFounders> founded, Collection<FleetProcess> processes, Set<Integer> leaving) {
    Map<Integer, Integer> sizes = new TreeMap<>();
    founded.forEach(founders -> sizes.put(founders.group(), 0));
    for (FleetProcess process : processes) {
      boolean counts = process.role() == FleetRole.STORE && !leaving.contains(process.memberId());
      if (counts) {
        knownGroupOf(process, founded).ifPresent(group -> sizes.merge(group, 1, Integer::sum));
      }
    }
    return sizes;
  }

  private void updateIncompleteSince(Map<Integer, Integer> sizes, long nowMs) {
    sizes.forEach(
        (group, size) -> {
          if (size >= targetSize) {
            incompleteSinceMs.remove(group);
          } else {
            incompleteSinceMs.putIfAbsent(group, nowMs);
          }
        });
  }
}
