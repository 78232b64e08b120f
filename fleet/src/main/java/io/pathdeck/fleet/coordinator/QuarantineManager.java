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
 * Decides on the leading coordinator which requests are quarantined and no longer sent to engines;
 * runs on the consensus thread.
 *
 * <p>Notices of engine crashes are kept in memory, and processes send them again to a new leader.
 * Decisions are replicated, so that a request stays in quarantine after a power loss of all
 * machines: otherwise it would crash three more engines before it is found again.
 */
final class QuarantineManager {
  private static final EventLog EVENTS = EventLog.of(QuarantineManager.class);

  /** Long enough for callers to give up, short enough to retry a fixed engine on the same day. */
  private static final long QUARANTINE_DURATION_MS = 600_000;

  private static final long STEP_INTERVAL_MS = 1_000;

  private final GroupRuntime group;
  private final FleetStateMachine state;
  private final ControllerClock clock;
  private final CrashCauseDetector detector = new CrashCauseDetector();

  /** When this leader first saw each request in quarantine. */
  private final Map<RequestFingerprint, Long> quarantinedSinceMs = new HashMap<>();

  /** Proposed for quarantine, not committed yet. */
  private final Set<RequestFingerprint> proposed = new HashSet<>();

  private long nextStepMs;

  QuarantineManager(GroupRuntime group, FleetStateMachine state, ControllerClock clock) {
    this.group = group;
    this.state = state;
    this.clock = clock;
  }

  /** Discards all state, when the leadership changes. */
  void clear() {
    detector.clear();
    quarantinedSinceMs.clear();
    proposed.clear();
  }

  /** Returns the list for a process that has {@code version}; null if that is the current one. */
  QuarantineList newerThan(long version) {
    return state.quarantineVersion() == version ? null : state.quarantine();
  }

  /** Handles a notice; replies once the resulting quarantine is committed. */
  void onNotice(EngineEndNotice notice, ReplySink reply, long nowMs) {
    if (!group.isLeading()) {
      reply.reply(group.notLeader());
      return;
    }
    notice.served().forEach(detector::clear);
    notice.ends().forEach(end -> detector.add(end, nowMs));
    List<RequestFingerprint> causes = detector.causes(state::isQuarantined);
    releaseExonerated(causes);
    List<RequestFingerprint> newCauses =
        causes.stream()
            .filter(request -> !state.isQuarantined(request) && proposed.add(request))
            .toList();
    if (newCauses.isEmpty()) {
      reply.reply(new EngineEndNoted());
      return;
    }
    for (RequestFingerprint request : newCauses) {
      EVENTS.log(EventCode.REQUEST_QUARANTINED, "fingerprint", request.shortForm());
    }
    group.propose(
        "",
        0,
        new QuarantineRequests(newCauses),
        committed -> {
          proposed.removeAll(newCauses);
          reply.reply(new EngineEndNoted());
        },
        clock);
  }

  /** Releases requests that were quarantined before the actual causes beside them were found. */
  private void releaseExonerated(List<RequestFingerprint> causes) {
    List<RequestFingerprint> exonerated =
        state.quarantine().requests().stream()
            .filter(request -> detector.hasSufficientEvidence(request) && !causes.contains(request))
            .toList();
    if (!exonerated.isEmpty()) {
      release(exonerated, "another request explains the ends");
    }
  }

  /** Expires old crashes, and releases requests after {@link #QUARANTINE_DURATION_MS}. */
  void onStep(long nowMs) {
    if (nowMs < nextStepMs) {
      return;
    }
    nextStepMs = nowMs + STEP_INTERVAL_MS;
    detector.expire(nowMs);
    List<RequestFingerprint> quarantined = state.quarantine().requests();
    quarantinedSinceMs.keySet().retainAll(quarantined);
    List<RequestFingerprint> expired = new ArrayList<>();
    for (RequestFingerprint request : quarantined) {
      long sinceMs = quarantinedSinceMs.computeIfAbsent(request, key -> nowMs);
      if (nowMs - sinceMs > QUARANTINE_DURATION_MS) {
        expired.add(request);
      }
    }
    if (!expired.isEmpty()) {
      release(expired, "held for long enough");
      expired.forEach(detector::clear);
    }
  }

  private void release(List<RequestFingerprint> requests, String reason) {
    for (RequestFingerprint request : requests) {
      EVENTS.log(EventCode.REQUEST_RELEASED, "fingerprint", request.shortForm(), "reason", reason);
    }
    group.propose("", 0, new ReleaseRequests(requests), reply -> {}, clock);
  }
}
