package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to a {@link FleetHeartbeat}.
 *
 * @param routes the newest configuration without its document, when the asker's is older
 * @param engines what changed in the list of engines; null while the leader does not know it. A
 *     leader that has not read the list yet sends the one that it knew before its restart, of no
 *     leader's epoch, to an asker that knows none
 * @param processes what changed in the list of processes; null while the leader collects it
 * @param jobsFounders the groups that keep batch jobs and their first members; none before they
 *     were founded
 * @param jobsGroups what the leaders of these groups reported last
 * @param assignedGroup the group that the asking store is to keep; {@link FleetProcess#NO_GROUP}
 *     when it has to wait or is no store
 * @param leavingMembers ids of store processes that are being emptied
 * @param contendedTenants tenants near their limit, whose requests the leader admits one by one
 * @param quarantine the requests that must not reach engines; null when the asker knows them
 * @param evacuatedZones the zones whose engines must get nothing new; null when the asker knows
 *     them
 * @param jobsGroupRegions the regions of the groups' first members; none in a fleet without regions
 * @param retiredOrigins software versions that have left the list of engines so recently that
 *     callers may still take up streams which began there
 * @param joiningOrigins software versions that the leader has listed for so short a time that other
 *     processes may not know them, so that no stream may begin there
 * @param suspectedParts parts of prompts that may soon count as causes of crashes; whoever has seen
 *     one of them served tells the leader
 */
public record FleetUpdate(
    RouteTable routes,
    EngineListDelta engines,
    ProcessListDelta processes,
    List<JobsGroupFounders> jobsFounders,
    List<JobsGroupReport> jobsGroups,
    int assignedGroup,
    List<Integer> leavingMembers,
    List<String> contendedTenants,
    QuarantineList quarantine,
    EvacuatedZones evacuatedZones,
    List<JobsGroupRegions> jobsGroupRegions,
    List<StreamOrigin> retiredOrigins,
    List<StreamOrigin> joiningOrigins,
    List<RequestFingerprint> suspectedParts)
    implements Message {
  /** The epoch of lists that no leader counted; every leader sends its own lists after it. */
  public static final long NO_LEADERS_EPOCH = -1;

  /** Up to where a process knows a list of engines that no leader counted; 0 when it knows none. */
  public static final long NO_LEADERS_SEQUENCE = 1;

  public FleetUpdate {
    jobsFounders = new ArrayList<>(jobsFounders);
    jobsGroups = new ArrayList<>(jobsGroups);
    leavingMembers = new ArrayList<>(leavingMembers);
    contendedTenants = new ArrayList<>(contendedTenants);
    jobsGroupRegions = new ArrayList<>(jobsGroupRegions);
    retiredOrigins = new ArrayList<>(retiredOrigins);
    joiningOrigins = new ArrayList<>(joiningOrigins);
    suspectedParts = new ArrayList<>(suspectedParts);
  }

  /** An answer in a fleet without regions, whose engines have one software version. */
  public FleetUpdate(
      RouteTable routes,
      EngineListDelta engines,
      ProcessListDelta processes,
      List<JobsGroupFounders> jobsFounders,
      List<JobsGroupReport> jobsGroups,
      int assignedGroup,
      List<Integer> leavingMembers,
      List<String> contendedTenants,
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
        contendedTenants,
        quarantine,
        evacuatedZones,
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /**
   * Returns the software versions that join after this update. Without a list of engines, {@code
   * known} ones go on joining: the leader may not know them yet.
   */
  public List<StreamOrigin> joiningOriginsAfter(List<StreamOrigin> known) {
    return engines == null ? known : joiningOrigins;
  }

  /** Whether this is what a coordinator knew before its restart, and not a leader's answer. */
  public boolean isLastKnown() {
    return processes != null && processes.epoch() == NO_LEADERS_EPOCH;
  }
}
