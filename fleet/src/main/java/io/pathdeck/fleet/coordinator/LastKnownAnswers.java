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
final class LastKnownAnswers {
  /**
   * How long all of it is told: one election that fails and one that succeeds. It counts from when
   * this coordinator can answer, for a slow machine takes most of that time to start.
   */
  static final long TOLD_MS = 2_000;

  /** How long a leader tells the engines: an election, and some reads of the list that fail. */
  static final long ENGINES_TOLD_MS = 4_000;

  private final Optional<FleetUpdate> lastKnown;
  private final long answersSinceMs;

  /**
   * Begins to tell.
   *
   * @param answersSinceMs from when on this coordinator can answer
   */
  LastKnownAnswers(Optional<FleetUpdate> lastKnown, long answersSinceMs) {
    this.lastKnown = lastKnown.map(LastKnownAnswers::counted);
    this.answersSinceMs = answersSinceMs;
  }

  /** The list of engines with a sequence, by which processes that know it can be told apart. */
  private static FleetUpdate counted(FleetUpdate update) {
    return copy(
        update,
        update.routes(),
        engines(true, update.engines().changed()),
        update.processes(),
        update.quarantine());
  }

  private static EngineListDelta engines(boolean full, List<EngineInstance> changed) {
    return new EngineListDelta(
        FleetUpdate.NO_LEADERS_EPOCH,
        full,
        changed,
        new ArrayList<>(),
        FleetUpdate.NO_LEADERS_SEQUENCE);
  }

  private static FleetUpdate copy(
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
  Optional<FleetUpdate> withoutLeader(FleetHeartbeat heartbeat, long nowMs) {
    boolean told = nowMs - answersSinceMs < TOLD_MS;
    if (!told || heartbeat.engineEpoch() != FleetUpdate.NO_LEADERS_EPOCH) {
      return Optional.empty();
    }
    return lastKnown.map(known -> holdsRoutes(heartbeat, known) ? repetition(known) : known);
  }

  private static boolean holdsRoutes(FleetHeartbeat heartbeat, FleetUpdate known) {
    return heartbeat.routeVersion() >= known.routes().version();
  }

  /** The lists are left out: a repetition goes to each process many times in a second. */
  private static FleetUpdate repetition(FleetUpdate known) {
    ProcessListDelta noProcesses =
        new ProcessListDelta(
            FleetUpdate.NO_LEADERS_EPOCH, false, new ArrayList<>(), new ArrayList<>(), 0);
    return copy(known, null, engines(false, new ArrayList<>()), noProcesses, null);
  }

  /** What a leader that has not read the list of engines tells of it; null for nothing. */
  EngineListDelta enginesBeforeFirstRead(FleetHeartbeat heartbeat, long nowMs) {
    boolean knowsNone =
        heartbeat.engineEpoch() == FleetUpdate.NO_LEADERS_EPOCH
            && heartbeat.engineSequence() < FleetUpdate.NO_LEADERS_SEQUENCE;
    boolean told = nowMs - answersSinceMs < ENGINES_TOLD_MS;
    return knowsNone && told ? lastKnown.map(FleetUpdate::engines).orElse(null) : null;
  }
}
