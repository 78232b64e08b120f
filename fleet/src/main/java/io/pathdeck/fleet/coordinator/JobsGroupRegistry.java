package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import java.util.ArrayList;
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
 * first, and one group then has a member more than it needs. A new leader assigns no replacements
 * during its first {@value #REPLACEMENT_DELAY_MS} ms, since lost members may only be restarting,
 * except to a group that has a leader and would not survive the loss of another member.
 */
final class JobsGroupRegistry {
  /**
   * How long a group must lack a member before a waiting store replaces it; longer than the restart
   * of a store, which takes 2 to 3 s.
   */
  static final long REPLACEMENT_DELAY_MS = 4_000;

  /**
   * How long a new leader collects reports. Until then it tells a store only the group whose leader
   * has reported it as a member.
   */
  static final long COLLECTION_PERIOD_MS = 1_000;

  /** A size that a group lacks members for. */
  private record MissingSize(int group, int size) {}

  private final ReplacementPolicy policy;
  private final ZoneBalance zoneBalance;
  private final Map<Integer, JobsGroupReport> reportByGroup = new TreeMap<>();
  private final Map<Integer, Integer> assignedGroupByMemberId = new HashMap<>();
  private final Map<MissingSize, Long> incompleteSinceMs = new HashMap<>();
  private final Set<Integer> waitingMemberIds = new HashSet<>();
  private long leaderSinceMs = Long.MIN_VALUE / 2;

  /**
   * Creates an empty registry.
   *
   * @param policy decides which stores may complete which groups
   * @param zoneBalance finds groups that would not survive the loss of a zone
   */
  JobsGroupRegistry(ReplacementPolicy policy, ZoneBalance zoneBalance) {
    this.policy = policy;
    this.zoneBalance = zoneBalance;
  }

  /** Discards all state; called when the leadership of this coordinator begins or ends. */
  void clear(long nowMs) {
    leaderSinceMs = nowMs;
    reportByGroup.clear();
    assignedGroupByMemberId.clear();
    incompleteSinceMs.clear();
    waitingMemberIds.clear();
  }

  /** Records the report of a group's leader, unless one of a newer term is known. */
  void onReport(JobsGroupReport report) {
    JobsGroupReport known = reportByGroup.get(report.group());
    if (known == null || report.term() >= known.term()) {
      reportByGroup.put(report.group(), report);
    }
  }

  /** Returns the newest report of each group. */
  List<JobsGroupReport> reports() {
    return List.copyOf(reportByGroup.values());
  }

  /**
   * Returns the group that a store belongs to, or {@link FleetProcess#NO_GROUP} if it has to wait.
   *
   * @param store the store as it describes itself
   * @param foundedGroups the groups and their first members
   * @param processes all live processes
   * @param leavingMemberIds the ids of stores that are being retired
   * @param nowMs the current time
   */
  int groupFor(
      FleetProcess store,
      List<JobsGroupFounders> foundedGroups,
      Collection<FleetProcess> processes,
      Set<Integer> leavingMemberIds,
      long nowMs) {
    if (store.jobsGroup() != FleetProcess.NO_GROUP) {
      return store.jobsGroup();
    }
    if (leavingMemberIds.contains(store.memberId())) {
      return FleetProcess.NO_GROUP;
    }
    Optional<Integer> reportedGroup = reportedGroupOf(store);
    if (reportedGroup.isPresent() || nowMs - leaderSinceMs < COLLECTION_PERIOD_MS) {
      return reportedGroup.orElse(FleetProcess.NO_GROUP);
    }
    return knownGroupOf(store, foundedGroups)
        .orElseGet(() -> assign(store, foundedGroups, processes, leavingMemberIds, nowMs));
  }

  /** Returns the group whose leader has reported the store as a member. */
  private Optional<Integer> reportedGroupOf(FleetProcess store) {
    return reportByGroup.values().stream()
        .filter(report -> report.configuration().find(store.memberId()).isPresent())
        .map(JobsGroupReport::group)
        .findFirst();
  }

  /** Returns the group that a store reports, is a member of, or was assigned to. */
  private Optional<Integer> knownGroupOf(
      FleetProcess store, List<JobsGroupFounders> foundedGroups) {
    if (store.jobsGroup() != FleetProcess.NO_GROUP) {
      return Optional.of(store.jobsGroup());
    }
    return groupWithMember(store, foundedGroups)
        .or(() -> Optional.ofNullable(assignedGroupByMemberId.get(store.memberId())));
  }

  /** Returns the group that lists the store as a member, even if the store has lost its disk. */
  private Optional<Integer> groupWithMember(
      FleetProcess store, List<JobsGroupFounders> foundedGroups) {
    return reportedGroupOf(store)
        .or(
            () ->
                foundedGroups.stream()
                    .filter(founders -> !reportByGroup.containsKey(founders.group()))
                    .filter(founders -> founders.configuration().find(store.memberId()).isPresent())
                    .map(JobsGroupFounders::group)
                    .findFirst());
  }

  private int assign(
      FleetProcess store,
      List<JobsGroupFounders> foundedGroups,
      Collection<FleetProcess> processes,
      Set<Integer> leavingMemberIds,
      long nowMs) {
    Map<Integer, List<FleetProcess>> members =
        listStoresByGroup(foundedGroups, processes, leavingMemberIds);
    members.forEach((group, stores) -> updateIncompleteSince(group, stores.size(), store, nowMs));
    Optional<Integer> groupOfOwnZone =
        zoneBalance
            .groupThatLacksZone(members, store.zone())
            .filter(group -> policy.isInRegionOf(group, store));
    if (groupOfOwnZone.isPresent() && nowMs - leaderSinceMs >= REPLACEMENT_DELAY_MS) {
      assignedGroupByMemberId.put(store.memberId(), groupOfOwnZone.get());
      return groupOfOwnZone.get();
    }
    Optional<Integer> groupToComplete =
        members.keySet().stream()
            .filter(group -> members.get(group).size() < policy.sizeFor(group, store))
            .filter(
                group ->
                    policy.isInRegionOf(group, store)
                        || !hasNearerStore(group, foundedGroups, processes, leavingMemberIds))
            .min(
                Comparator.<Integer, Boolean>comparing(group -> !policy.isInRegionOf(group, store))
                    .thenComparing(group -> members.get(group).size()));
    if (groupToComplete.isEmpty()) {
      waitingMemberIds.add(store.memberId());
      return FleetProcess.NO_GROUP;
    }
    int group = groupToComplete.get();
    long incompleteSince =
        incompleteSinceMs.get(new MissingSize(group, policy.sizeFor(group, store)));
    boolean lostMemberMayReturn =
        waitingMemberIds.contains(store.memberId())
            && nowMs - incompleteSince < REPLACEMENT_DELAY_MS;
    boolean membersMayStillStart =
        nowMs - leaderSinceMs < REPLACEMENT_DELAY_MS
            && !isWithoutReserve(group, members.get(group).size(), store);
    if (lostMemberMayReturn || membersMayStillStart) {
      return FleetProcess.NO_GROUP;
    }
    waitingMemberIds.remove(store.memberId());
    assignedGroupByMemberId.put(store.memberId(), group);
    return group;
  }

  /**
   * Whether the group tolerates no further loss, although its leader has reported, so that its
   * other members have had the time to start.
   */
  private boolean isWithoutReserve(int group, int size, FleetProcess store) {
    return reportByGroup.containsKey(group)
        && size < policy.minSize()
        && policy.isInRegionOf(group, store);
  }

  /** Whether a store of the group's regions waits, which should complete the group. */
  private boolean hasNearerStore(
      int group,
      List<JobsGroupFounders> foundedGroups,
      Collection<FleetProcess> processes,
      Set<Integer> leavingMemberIds) {
    return processes.stream()
        .filter(process -> process.role() == FleetRole.STORE)
        .filter(process -> !leavingMemberIds.contains(process.memberId()))
        .filter(process -> policy.isInRegionOf(group, process))
        .anyMatch(process -> knownGroupOf(process, foundedGroups).isEmpty());
  }

  /** Returns the live stores that belong or are assigned to each group, except retiring ones. */
  private Map<Integer, List<FleetProcess>> listStoresByGroup(
      List<JobsGroupFounders> foundedGroups,
      Collection<FleetProcess> processes,
      Set<Integer> leavingMemberIds) {
    Map<Integer, List<FleetProcess>> members = new TreeMap<>();
    foundedGroups.forEach(founders -> members.put(founders.group(), new ArrayList<>()));
    for (FleetProcess process : processes) {
      boolean isCounted =
          process.role() == FleetRole.STORE && !leavingMemberIds.contains(process.memberId());
      if (isCounted) {
        knownGroupOf(process, foundedGroups)
            .ifPresent(
                group -> members.computeIfAbsent(group, key -> new ArrayList<>()).add(process));
      }
    }
    return members;
  }

  private void updateIncompleteSince(int group, int size, FleetProcess store, long nowMs) {
    MissingSize missing = new MissingSize(group, policy.sizeFor(group, store));
    if (size >= missing.size()) {
      incompleteSinceMs.remove(missing);
    } else {
      incompleteSinceMs.putIfAbsent(missing, nowMs);
    }
  }
}
