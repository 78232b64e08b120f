package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What a coordinator that has just started tells of what it knew before, and to whom.
 *
 * <p>All of it goes to processes that no leader has given a list of engines, while no leader is
 * known. The list of engines alone goes to processes that know none, from a leader that has not
 * read it yet. Both carry no leader's epoch, so the list that the leader reads is sent in full.
 * Both end soon after the start: later a newer configuration may be in force, and engines may have
 * moved.
 */
final class LastKnownResponder {
  /**
   * How long all of it is told: one election that fails and one that succeeds. It counts from when
   * this coordinator can answer, for a slow machine takes most of that time to start.
   */
  static final long ANSWER_WINDOW_MS = 2_000;

  /** How long a leader tells the engines: an election, and some reads of the list that fail. */
  static final long ENGINE_LIST_WINDOW_MS = 4_000;

  private final Optional<FleetUpdate> lastKnown;
  private final long servingSinceMs;

  /**
   * Begins to tell.
   *
   * @param servingSinceMs from when on this coordinator can answer
   */
  LastKnownResponder(Optional<FleetUpdate> lastKnown, long servingSinceMs) {
    this.lastKnown = lastKnown.map(LastKnownResponder::withListSequence);
    this.servingSinceMs = servingSinceMs;
  }

  /** The list of engines with a sequence, by which processes that know it can be told apart. */
  private static FleetUpdate withListSequence(FleetUpdate update) {
    return copyWith(
        update,
        update.routes(),
        engineDelta(true, update.engines().changed()),
        update.processes(),
        update.quarantine());
  }

  private static EngineListDelta engineDelta(boolean full, List<EngineInstance> changed) {
    return new EngineListDelta(
        FleetUpdate.NO_LEADERS_EPOCH,
        full,
        changed,
        new ArrayList<>(),
        FleetUpdate.NO_LEADERS_SEQUENCE);
  }

  private static FleetUpdate copyWith(
      FleetUpdate update,
      RouteTable routes,
      EngineListDelta engines,
      ProcessListDelta processes,
      QuarantineList quarantine) {
    return new FleetUpdate(
        routes,
        engines,
        processes,
        update.jobsFounders(),
        update.jobsGroups(),
        update.assignedGroup(),
        update.leavingMembers(),
        update.contendedTenants(),
        quarantine);
  }

  /**
   * The answer of a coordinator that knows no leader; empty when it has none to give. A process
   * that holds the same or newer routes hears only that no leader is known.
   */
  Optional<FleetUpdate> answerWithoutLeader(FleetHeartbeat heartbeat, long nowMs) {
    boolean told = nowMs - servingSinceMs < ANSWER_WINDOW_MS;
    if (!told || heartbeat.engineEpoch() != FleetUpdate.NO_LEADERS_EPOCH) {
      return Optional.empty();
    }
    return lastKnown.map(known -> hasRoutes(heartbeat, known) ? withoutLists(known) : known);
  }

  private static boolean hasRoutes(FleetHeartbeat heartbeat, FleetUpdate known) {
    return heartbeat.routeVersion() >= known.routes().version();
  }

  /** The lists are left out: a repetition goes to each process many times in a second. */
  private static FleetUpdate withoutLists(FleetUpdate known) {
    ProcessListDelta noProcesses =
        new ProcessListDelta(
            FleetUpdate.NO_LEADERS_EPOCH, false, new ArrayList<>(), new ArrayList<>(), 0);
    return copyWith(known, null, engineDelta(false, new ArrayList<>()), noProcesses, null);
  }

  /** What a leader that has not read the list of engines tells of it; null for nothing. */
  EngineListDelta enginesBeforeFirstRead(FleetHeartbeat heartbeat, long nowMs) {
    boolean knowsNone =
        heartbeat.engineEpoch() == FleetUpdate.NO_LEADERS_EPOCH
            && heartbeat.engineSequence() < FleetUpdate.NO_LEADERS_SEQUENCE;
    boolean told = nowMs - servingSinceMs < ENGINE_LIST_WINDOW_MS;
    return knowsNone && told ? lastKnown.map(FleetUpdate::engines).orElse(null) : null;
  }
}
