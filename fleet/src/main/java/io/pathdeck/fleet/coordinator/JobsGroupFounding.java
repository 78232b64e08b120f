package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the initial stores into the groups that replicate batch jobs.
 *
 * <p>A group has one member more than it needs to tolerate the configured losses, so that one store
 * can be retired at any time. Larger groups would cost traffic and disk space, since the leader
 * sends every byte to each other member and every disk holds all data of the group. So more stores
 * form more groups; surplus stores wait as replacements.
 */
final class JobsGroupFounding {
  private JobsGroupFounding() {}

  /**
   * Whether no store belongs to a group yet. Groups are founded once: coordinators that have lost
   * their state must not found others in the place of those that hold jobs.
   */
  static boolean isFirst(Collection<FleetProcess> processes) {
    return processes.stream().allMatch(process -> process.jobsGroup() == FleetProcess.NO_GROUP);
  }

  /** Returns the number of stores that a group should have, one of which may be retired. */
  static int targetSize(int minGroupSize) {
    return minGroupSize + 1;
  }

  /**
   * Forms as many groups of the target size as the stores suffice for, but at least one, and
   * spreads each over as many zones as possible.
   *
   * @param minGroupSize minimum size of a group that tolerates the configured losses
   */
  static List<JobsGroupFounders> form(Collection<FleetProcess> stores, int minGroupSize) {
    int target = targetSize(minGroupSize);
    int groupCount = Math.max(1, stores.size() / target);
    List<List<FleetProcess>> groups = new ArrayList<>();
    for (int index = 0; index < groupCount; index++) {
      groups.add(new ArrayList<>());
    }
    for (FleetProcess store : alternatingZones(stores)) {
      groups.stream()
          .filter(group -> group.size() < target)
          .min(
              Comparator.<List<FleetProcess>>comparingLong(
                      group -> countInZone(group, store.zone()))
                  .thenComparing(List::size))
          .ifPresent(group -> group.add(store));
    }
    List<JobsGroupFounders> founders = new ArrayList<>();
    for (List<FleetProcess> group : groups) {
      founders.add(new JobsGroupFounders(founders.size() + 1, configuration(group)));
    }
    return founders;
  }

  private static long countInZone(List<FleetProcess> group, String zone) {
    return group.stream().filter(store -> store.zone().equals(zone)).count();
  }

  private static GroupConfiguration configuration(List<FleetProcess> stores) {
    return new GroupConfiguration(
        stores.stream()
            .sorted(Comparator.comparingInt(FleetProcess::memberId))
            .map(JobsGroupFounding::voter)
            .toList());
  }

  private static Member voter(FleetProcess store) {
    return new Member(store.memberId(), store.incarnation(), true, store.peerAddress());
  }

  /** Returns the first store of each zone, then the second of each, and so on. */
  private static List<FleetProcess> alternatingZones(Collection<FleetProcess> stores) {
    Map<String, Integer> storeCountByZone = new HashMap<>();
    Map<Integer, List<FleetProcess>> rounds = new TreeMap<>();
    stores.stream()
        .sorted(Comparator.comparing(FleetProcess::zone).thenComparing(FleetProcess::name))
        .forEach(
            store -> {
              int round = storeCountByZone.merge(store.zone(), 1, Integer::sum);
              rounds.computeIfAbsent(round, key -> new ArrayList<>()).add(store);
            });
    return rounds.values().stream().flatMap(List::stream).toList();
  }
}
