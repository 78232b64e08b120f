package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.Collection;
import java.util.TreeMap;

/**
 * The stores of which the first groups for batch jobs are formed. Performs no I/O; confined to one
 * thread.
 *
 * <p>Stores without a group count even if they have lost their disk since the first start of the
 * system: while the replicated state has no groups, none has accepted a job. At least one must have
 * taken part in the first start, so that coordinators which were set up anew do not found groups of
 * stores that were.
 */
final class FoundingCandidates {
  /** How long no new candidate may have appeared before groups are formed. */
  static final long SETTLE_MS = 700;

  private final TreeMap<Integer, FleetProcess> stores = new TreeMap<>();
  private boolean anyOfFirstStart;
  private long newestMs;

  /**
   * Applies a heartbeat.
   *
   * @param ofFirstStart whether the sender took part in the first start of the system
   */
  void onHeartbeat(FleetProcess sender, boolean ofFirstStart, long nowMs) {
    boolean isCandidate =
        sender.role() == FleetRole.STORE && sender.jobsGroup() == FleetProcess.NO_GROUP;
    if (!isCandidate) {
      return;
    }
    anyOfFirstStart |= ofFirstStart;
    FleetProcess previous = stores.put(sender.memberId(), sender);
    if (previous == null || previous.incarnation() != sender.incarnation()) {
      newestMs = nowMs;
    }
  }

  /** Whether groups of at least {@code minGroupSize} members can be formed now. */
  boolean areSettled(int minGroupSize, long nowMs) {
    return anyOfFirstStart && stores.size() >= minGroupSize && nowMs - newestMs >= SETTLE_MS;
  }

  /** Returns the candidates by member id. */
  Collection<FleetProcess> stores() {
    return stores.values();
  }

  void clear() {
    stores.clear();
    anyOfFirstStart = false;
  }
}
