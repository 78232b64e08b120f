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
 * Answers heartbeats with the last-known fleet state, shortly after the start of a coordinator.
 *
 * <p>While no leader is known, all of the state is sent to processes without a list of engines from
 * a leader. A leader that has not read the list of engines yet sends the last-known list to
 * processes that have none. Neither answer carries a leader's epoch, so the list that the leader
 * reads is sent in full. Both end soon after the start: later a newer configuration may be in
 * force, and engines may have moved.
 */
final class LastKnownResponder {
  /**
   * How long all of the state is sent: a failed election and a successful one. It counts from when
   * this coordinator can answer, since a slow machine takes most of that time to start.
   */
  static final long ANSWER_WINDOW_MS = 2_000;

  /**
   * How long a leader sends the last-known engines: an election and some failed reads of the list.
   */
  static final long ENGINE_LIST_WINDOW_MS = 4_000;

  private final Optional<FleetUpdate> lastKnown;
  private final long servingSinceMs;

  /**
   * Creates a responder.
   *
   * @param servingSinceMs when this coordinator became able to answer
   */
  LastKnownResponder(Optional<FleetUpdate> lastKnown, long servingSinceMs) {
    this.lastKnown = lastKnown.map(LastKnownResponder::withListSequence);
    this.servingSinceMs = servingSinceMs;
  }

  /** Sets a sequence on the list of engines, which distinguishes processes that have it. */
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
   * Returns the answer while no leader is known; empty if there is none. A process with the same or
   * newer routes gets it without lists, which tells it only that no leader is known.
   */
  Optional<FleetUpdate> answerWithoutLeader(FleetHeartbeat heartbeat, long nowMs) {
    boolean inWindow = nowMs - servingSinceMs < ANSWER_WINDOW_MS;
    if (!inWindow || heartbeat.engineEpoch() != FleetUpdate.NO_LEADERS_EPOCH) {
      return Optional.empty();
    }
    return lastKnown.map(known -> hasRoutes(heartbeat, known) ? withoutLists(known) : known);
  }

  private static boolean hasRoutes(FleetHeartbeat heartbeat, FleetUpdate known) {
    return heartbeat.routeVersion() >= known.routes().version();
  }

  /** Leaves out the lists, since each process gets this answer many times a second. */
  private static FleetUpdate withoutLists(FleetUpdate known) {
    ProcessListDelta noProcesses =
        new ProcessListDelta(
            FleetUpdate.NO_LEADERS_EPOCH, false, new ArrayList<>(), new ArrayList<>(), 0);
    return copyWith(known, null, engineDelta(false, new ArrayList<>()), noProcesses, null);
  }

  /** Returns the engines that a leader sends before it has read the list; null for none. */
  EngineListDelta enginesBeforeFirstRead(FleetHeartbeat heartbeat, long nowMs) {
    boolean knowsNone =
        heartbeat.engineEpoch() == FleetUpdate.NO_LEADERS_EPOCH
            && heartbeat.engineSequence() < FleetUpdate.NO_LEADERS_SEQUENCE;
    boolean inWindow = nowMs - servingSinceMs < ENGINE_LIST_WINDOW_MS;
    return knowsNone && inWindow ? lastKnown.map(FleetUpdate::engines).orElse(null) : null;
  }
}
