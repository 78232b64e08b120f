package io.pathdeck.fleet.member;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a process knows of the fleet; an immutable snapshot.
 *
 * @param routes the newest configuration it heard of; null before the first one
 * @param engines the engines by id; null before the first list
 * @param processes the processes by name
 * @param jobsFounders the groups that keep batch jobs and their first members
 * @param jobsGroups these groups as their leaders reported them last
 * @param assignedGroup the group that this process is to keep, for a store
 * @param leavingMembers ids of stores that are being emptied
 * @param quarantine the requests that must not reach engines
 */
public record FleetView(
    RouteTable routes,
    Map<String, EngineInstance> engines,
    Map<String, FleetProcess> processes,
    List<JobsGroupFounders> jobsFounders,
    List<JobsGroupReport> jobsGroups,
    int assignedGroup,
    List<Integer> leavingMembers,
    QuarantineList quarantine) {
  /** Nothing is known. */
  public static final FleetView EMPTY =
      new FleetView(
          null,
          null,
          Map.of(),
          List.of(),
          List.of(),
          FleetProcess.NO_GROUP,
          List.of(),
          QuarantineList.NONE);

  /** Whether requests can be forwarded by this knowledge. */
  public boolean isComplete() {
    return routes != null && engines != null;
  }

  /** The processes of a role. */
  public List<FleetProcess> withRole(FleetRole role) {
    return processes.values().stream().filter(process -> process.role() == role).toList();
  }

  /** The store with this machine name. */
  public Optional<FleetProcess> store(String name) {
    return withRole(FleetRole.STORE).stream()
        .filter(process -> process.name().equals(name))
        .findFirst();
  }

  /** The first members of a jobs group; empty when it is not founded. */
  public Optional<GroupConfiguration> foundersOf(int group) {
    return jobsFounders.stream()
        .filter(founders -> founders.group() == group)
        .map(JobsGroupFounders::configuration)
        .findFirst();
  }

  /** The members of a jobs group as its leader reported them last; empty when unknown. */
  public Optional<GroupConfiguration> reportedMembersOf(int group) {
    return jobsGroups.stream()
        .filter(report -> report.group() == group)
        .map(JobsGroupReport::configuration)
        .findFirst();
  }

  /** All that are known as members of a jobs group, now or at first. */
  public Set<Member> knownMembersOf(int group) {
    Set<Member> members = new LinkedHashSet<>();
    reportedMembersOf(group).ifPresent(known -> members.addAll(known.members()));
    foundersOf(group).ifPresent(known -> members.addAll(known.members()));
    return members;
  }

  /** The addresses at which a member of a jobs group may answer, the likely ones first. */
  public List<String> addressesOf(int group) {
    Set<String> addresses = new LinkedHashSet<>();
    Optional<GroupConfiguration> members = reportedMembersOf(group).or(() -> foundersOf(group));
    members.ifPresent(known -> known.members().forEach(member -> addresses.add(member.address())));
    withRole(FleetRole.STORE).stream()
        .filter(store -> store.jobsGroup() == group)
        .forEach(store -> addresses.add(store.peerAddress()));
    return List.copyOf(addresses);
  }
}
