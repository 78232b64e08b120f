package io.pathdeck.fleet.member;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.raft.GroupConfiguration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a process knows of the fleet; an immutable snapshot.
 *
 * @param routes the newest configuration it heard of; null before the first one
 * @param engines the engines by id; null before the first list
 * @param processes the processes by name
 * @param jobsFounders the first members of the jobs group; null before it was founded
 * @param jobsGroup the jobs group as its leader reported it; null when unknown
 * @param leavingMembers ids of stores that are being emptied
 */
public record FleetView(
    RouteTable routes,
    Map<String, EngineInstance> engines,
    Map<String, FleetProcess> processes,
    GroupConfiguration jobsFounders,
    JobsGroupReport jobsGroup,
    List<Integer> leavingMembers) {
  /** Nothing is known. */
  public static final FleetView UNKNOWN =
      new FleetView(null, null, Map.of(), null, null, List.of());

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
}
