package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.raft.GroupConfiguration;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to a {@link FleetHeartbeat}.
 *
 * @param routes the newest configuration without its document, when the asker's is older
 * @param engines what changed in the list of engines; null while the leader does not know it
 * @param processes what changed in the list of processes; null while the leader collects it
 * @param jobsFounders the first configuration of the jobs group; null before it was founded
 * @param jobsGroup what the leader of the jobs group reported last; null when unknown
 * @param leavingMembers ids of store processes that are being emptied
 */
public record FleetUpdate(
    RouteTable routes,
    EngineListDelta engines,
    ProcessListDelta processes,
    GroupConfiguration jobsFounders,
    JobsGroupReport jobsGroup,
    List<Integer> leavingMembers)
    implements Message {
  /** The epoch of lists that no leader counted; every leader sends its own lists after it. */
  public static final long NO_LEADERS_EPOCH = -1;

  public FleetUpdate {
    leavingMembers = new ArrayList<>(leavingMembers);
  }

  /** Whether this is what a coordinator knew before its restart, and not a leader's answer. */
  public boolean isLastKnown() {
    return engines != null && engines.epoch() == NO_LEADERS_EPOCH;
  }
}
