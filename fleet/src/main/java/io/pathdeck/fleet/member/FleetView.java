package io.pathdeck.fleet.member;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An immutable snapshot of the fleet as known to a process.
 *
 * @param routes the newest known configuration; null before the first one
 * @param engines the engines by id; null before the first list
 * @param processes the processes by name
 * @param jobsFounders the jobs groups and their first members
 * @param jobsGroups the jobs groups as last reported by their leaders
 * @param assignedGroup the jobs group of this process if it is a store; {@link
 *     FleetProcess#NO_GROUP} if it has none
 * @param leavingMembers ids of stores that are being retired
 * @param quarantine the requests that must not reach engines
 * @param evacuatedZones the zones whose engines must get nothing new
 * @param jobsGroupRegions the regions of the groups' first members; none in a fleet without regions
 * @param retiredOrigins software versions that have left the list of engines recently
 * @param joiningOrigins software versions at which no stream may begin yet
 */
public record FleetView(
    RouteTable routes,
    Map<String, EngineInstance> engines,
    Map<String, FleetProcess> processes,
    List<JobsGroupFounders> jobsFounders,
    List<JobsGroupReport> jobsGroups,
    int assignedGroup,
    List<Integer> leavingMembers,
    QuarantineList quarantine,
    EvacuatedZones evacuatedZones,
    List<JobsGroupRegions> jobsGroupRegions,
    List<StreamOrigin> retiredOrigins,
    List<StreamOrigin> joiningOrigins) {
  /** A view without any information. */
  public static final FleetView EMPTY =
      new FleetView(
          null,
          null,
          Map.of(),
          List.of(),
          List.of(),
          FleetProcess.NO_GROUP,
          List.of(),
          QuarantineList.NONE,
          EvacuatedZones.NONE);

  /** Creates a view of a fleet without regions, whose engines have one software version. */
  public FleetView(
      RouteTable routes,
      Map<String, EngineInstance> engines,
      Map<String, FleetProcess> processes,
      List<JobsGroupFounders> jobsFounders,
      List<JobsGroupReport> jobsGroups,
      int assignedGroup,
      List<Integer> leavingMembers,
      QuarantineList quarantine,
      EvacuatedZones evacuatedZones) {
    this(
        routes,
        engines,
        processes,
        jobsFounders,
        jobsGroups,
        assignedGroup,
        leavingMembers,
        quarantine,
        evacuatedZones,
        List.of(),
        List.of(),
        List.of());
  }

  /** Whether the view suffices to forward requests. */
  public boolean isComplete() {
    return routes != null && engines != null;
  }

  public List<FleetProcess> withRole(FleetRole role) {
    return processes.values().stream().filter(process -> process.role() == role).toList();
  }

  /** Finds a store by the name of its machine. */
  public Optional<FleetProcess> findStore(String name) {
    return withRole(FleetRole.STORE).stream()
        .filter(process -> process.name().equals(name))
        .findFirst();
  }

  /** Returns the first members of a jobs group; empty before it is founded. */
  public Optional<GroupConfiguration> foundersOf(int group) {
    return jobsFounders.stream()
        .filter(founders -> founders.group() == group)
        .map(JobsGroupFounders::configuration)
        .findFirst();
  }

  /** Returns the members of a jobs group as last reported by its leader; empty if unknown. */
  public Optional<GroupConfiguration> reportedMembersOf(int group) {
    return jobsGroups.stream()
        .filter(report -> report.group() == group)
        .map(JobsGroupReport::configuration)
        .findFirst();
  }

  /** Returns the current members and the founders of a jobs group, as far as known. */
  public Set<Member> knownMembersOf(int group) {
    Set<Member> members = new LinkedHashSet<>();
    reportedMembersOf(group).ifPresent(known -> members.addAll(known.members()));
    foundersOf(group).ifPresent(known -> members.addAll(known.members()));
    return members;
  }

  /**
   * Returns the addresses of a jobs group: its members, then other stores that report the group.
   */
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
