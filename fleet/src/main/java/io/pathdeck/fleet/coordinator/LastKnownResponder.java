package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Answers heartbeats with the last-known fleet state, shortly after the start of a coordinator.
 *
 * <p>While no leader is known, a coordinator sends the whole state to processes that have no list
 * of engines from a leader. A leader that has not read the list of engines yet sends the last-known
 * list to processes without any. Neither answer carries a leader's epoch, so the leader later sends
 * its own list in full. Both kinds of answers end soon after the start: later a newer configuration
 * may be in force, and engines may have moved.
 */
final class LastKnownResponder {
  /**
   * How long the whole state is sent; outlasts a failed election and a successful one. It counts
   * from when this coordinator can answer, since a slow machine takes most of that time to start.
   */
  static final long ANSWER_WINDOW_MS = 2_000;

  /** How long a leader sends the last-known engines; outlasts an election and some failed reads. */
  static final long ENGINE_LIST_WINDOW_MS = 4_000;

  private final Optional<FleetUpdate> savedUpdate;
  private final long servingSinceMs;

  /**
   * Creates a responder.
   *
   * @param savedUpdate the state saved before the restart; empty if there is none
   * @param servingSinceMs when this coordinator became able to answer
   */
  LastKnownResponder(Optional<FleetUpdate> savedUpdate, long servingSinceMs) {
    this.savedUpdate = savedUpdate.map(LastKnownResponder::withListSequence);
    this.servingSinceMs = servingSinceMs;
  }

  /** Gives the list of engines a sequence, by which heartbeats show whether the sender has it. */
  private static FleetUpdate withListSequence(FleetUpdate update) {
    return copyWith(
        update,
        update.routes(),
        engineDelta(true, update.engines().changed()),
        update.processes(),
        update.quarantine(),
        update.evacuatedZones());
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
      QuarantineList quarantine,
      EvacuatedZones evacuatedZones) {
    return new FleetUpdate(
        routes,
        engines,
        processes,
        update.jobsFounders(),
        update.jobsGroups(),
        update.assignedGroup(),
        update.leavingMembers(),
        update.contendedTenants(),
        quarantine,
        evacuatedZones,
        update.jobsGroupRegions(),
        update.retiredOrigins(),
        update.joiningOrigins(),
        update.suspectedParts());
  }

  /**
   * Returns the answer while no leader is known, or empty to send none. A process with the same or
   * newer routes and evacuated zones only gets a notice that no leader is known.
   */
  Optional<FleetUpdate> answerWithoutLeader(FleetHeartbeat heartbeat, long nowMs) {
    boolean inWindow = nowMs - servingSinceMs < ANSWER_WINDOW_MS;
    if (!inWindow || heartbeat.engineEpoch() != FleetUpdate.NO_LEADERS_EPOCH) {
      return Optional.empty();
    }
    return savedUpdate.map(
        saved -> hasCurrentState(heartbeat, saved) ? leaderUnknownNotice(saved) : saved);
  }

  private static boolean hasCurrentState(FleetHeartbeat heartbeat, FleetUpdate saved) {
    return heartbeat.routeVersion() >= saved.routes().version()
        && heartbeat.evacuationVersion() >= saved.evacuatedZones().version();
  }

  /**
   * Omits routes, engines, processes, quarantine and evacuated zones, since a process asks several
   * times a second.
   */
  private static FleetUpdate leaderUnknownNotice(FleetUpdate saved) {
    ProcessListDelta noProcesses =
        new ProcessListDelta(
            FleetUpdate.NO_LEADERS_EPOCH, false, new ArrayList<>(), new ArrayList<>(), 0);
    return copyWith(saved, null, engineDelta(false, new ArrayList<>()), noProcesses, null, null);
  }

  /** Returns the engines that a leader sends before it has read the list; null to send none. */
  EngineListDelta enginesBeforeFirstRead(FleetHeartbeat heartbeat, long nowMs) {
    boolean hasNoEngineList =
        heartbeat.engineEpoch() == FleetUpdate.NO_LEADERS_EPOCH
            && heartbeat.engineSequence() < FleetUpdate.NO_LEADERS_SEQUENCE;
    boolean inWindow = nowMs - servingSinceMs < ENGINE_LIST_WINDOW_MS;
    return hasNoEngineList && inWindow ? savedUpdate.map(FleetUpdate::engines).orElse(null) : null;
  }
}
