package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.fleet.quarantine.CrashCauseDetector;
import io.pathdeck.protocol.command.QuarantineRequests;
import io.pathdeck.protocol.command.ReleaseRequests;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.message.EngineEndNoted;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.FleetStateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides for the leading coordinator which requests must not reach engines any more; runs on the
 * thread of the consensus duty.
 *
 * <p>What processes tell of ends is kept in memory, and processes tell a new leader again. What is
 * decided is replicated, so that a loss of power of all machines does not let a request loose that
 * ended engines before: it would end three more until it was found again.
 */
final class QuarantineManager {
  private static final EventLog EVENTS = EventLog.of(QuarantineManager.class);

  /**
   * Long enough for callers to give up, short enough for a mended engine to be tried the same day.
   */
  private static final long QUARANTINE_DURATION_MS = 600_000;

  private static final long STEP_INTERVAL_MS = 1_000;

  private final GroupRuntime group;
  private final FleetStateMachine state;
  private final ControllerClock clock;
  private final CrashCauseDetector ledger = new CrashCauseDetector();

  /** Since when this leader knows each request as held. */
  private final Map<RequestFingerprint, Long> quarantinedSinceMs = new HashMap<>();

  /** Found, and not committed yet. */
  private final Set<RequestFingerprint> proposed = new HashSet<>();

  private long nextStepMs;

  QuarantineManager(GroupRuntime group, FleetStateMachine state, ControllerClock clock) {
    this.group = group;
    this.state = state;
    this.clock = clock;
  }

  /** Forgets everything, for a new leadership. */
  void clear() {
    ledger.clear();
    quarantinedSinceMs.clear();
    proposed.clear();
  }

  /** The list for a process that has {@code version}; null when it has the newest one. */
  QuarantineList newerThan(long version) {
    return state.quarantineVersion() == version ? null : state.quarantine();
  }

  /** Takes a notice, and replies once what follows from it is committed. */
  void onNotice(EngineEndNotice notice, ReplySink reply, long nowMs) {
    if (!group.isLeading()) {
      reply.reply(group.notLeader());
      return;
    }
    notice.served().forEach(ledger::clear);
    notice.ends().forEach(end -> ledger.add(end, nowMs));
    List<RequestFingerprint> causes = ledger.causes(state::isQuarantined);
    releaseExonerated(causes);
    List<RequestFingerprint> found =
        causes.stream()
            .filter(request -> !state.isQuarantined(request) && proposed.add(request))
            .toList();
    if (found.isEmpty()) {
      reply.reply(new EngineEndNoted());
      return;
    }
    for (RequestFingerprint request : found) {
      EVENTS.log(EventCode.REQUEST_QUARANTINED, "fingerprint", request.shortForm());
    }
    group.propose(
        "",
        0,
        new QuarantineRequests(found),
        committed -> {
          proposed.removeAll(found);
          reply.reply(new EngineEndNoted());
        },
        clock);
  }

  /** Requests that were beside causes which were not found yet when they were held back. */
  private void releaseExonerated(List<RequestFingerprint> causes) {
    List<RequestFingerprint> innocent =
        state.quarantine().requests().stream()
            .filter(request -> ledger.hasSufficientEvidence(request) && !causes.contains(request))
            .toList();
    if (!innocent.isEmpty()) {
      release(innocent, "another request explains the ends");
    }
  }

  /** Forgets old ends, and releases requests that were held for long enough. */
  void onStep(long nowMs) {
    if (nowMs < nextStepMs) {
      return;
    }
    nextStepMs = nowMs + STEP_INTERVAL_MS;
    ledger.expire(nowMs);
    List<RequestFingerprint> held = state.quarantine().requests();
    quarantinedSinceMs.keySet().retainAll(held);
    List<RequestFingerprint> over = new ArrayList<>();
    for (RequestFingerprint request : held) {
      long sinceMs = quarantinedSinceMs.computeIfAbsent(request, key -> nowMs);
      if (nowMs - sinceMs > QUARANTINE_DURATION_MS) {
        over.add(request);
      }
    }
    if (!over.isEmpty()) {
      release(over, "held for long enough");
      over.forEach(ledger::clear);
    }
  }

  private void release(List<RequestFingerprint> requests, String reason) {
    for (RequestFingerprint request : requests) {
      EVENTS.log(EventCode.REQUEST_RELEASED, "fingerprint", request.shortForm(), "reason", reason);
    }
    group.propose("", 0, new ReleaseRequests(requests), reply -> {}, clock);
  }
}
