package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.fleet.quarantine.CrashCauseDetector;
import io.pathdeck.fleet.quarantine.QuarantineTrials;
import io.pathdeck.fleet.quarantine.SuccessRule;
import io.pathdeck.protocol.command.CountQuarantineTrial;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.QuarantineRequests;
import io.pathdeck.protocol.command.ReleaseRequests;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.ServedFingerprint;
import io.pathdeck.protocol.message.EngineEndNoted;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.TrialNotice;
import io.pathdeck.protocol.message.TrialReply;
import io.pathdeck.protocol.message.TrialRequest;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.FleetStateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides on the leading coordinator which requests and parts of prompts are quarantined and no
 * longer sent to engines; runs on the consensus thread.
 *
 * <p>Notices of engine crashes are kept in memory, and processes send them again to a new leader.
 * Decisions are replicated, so that a request stays in quarantine after a power loss of all
 * machines: otherwise it would crash more engines before it is detected again.
 */
final class QuarantineManager {
  private static final EventLog EVENTS = EventLog.of(QuarantineManager.class);

  /**
   * Long enough for callers to stop retrying, short enough to admit a request soon after the
   * engines are fixed.
   */
  private static final long QUARANTINE_DURATION_MS = 600_000;

  private static final long STEP_INTERVAL_MS = 1_000;
  private static final String UNKNOWN_ENGINE = "";

  private final GroupRuntime group;
  private final FleetStateMachine state;
  private final ControllerClock clock;
  private final CrashCauseDetector detector = new CrashCauseDetector();
  private final QuarantineTrials trials = new QuarantineTrials();
  private final SuccessRule successRule = new SuccessRule();

  /** When this leader first saw each request in quarantine. */
  private final Map<RequestFingerprint, Long> quarantinedSinceMs = new HashMap<>();

  /** Requests whose quarantine is proposed but not committed yet. */
  private final Set<RequestFingerprint> proposedRequests = new HashSet<>();

  /** Requests whose release is proposed but not committed yet. */
  private final Set<RequestFingerprint> proposedReleases = new HashSet<>();

  private List<RequestFingerprint> suspectedParts = List.of();
  private long nextStepMs;
  private long unnamedTrials;

  QuarantineManager(GroupRuntime group, FleetStateMachine state, ControllerClock clock) {
    this.group = group;
    this.state = state;
    this.clock = clock;
  }

  /** Discards the crashes and pending decisions; called when the leadership changes. */
  void clear() {
    detector.clear();
    trials.clear();
    successRule.clear();
    quarantinedSinceMs.clear();
    proposedRequests.clear();
    proposedReleases.clear();
    suspectedParts = List.of();
  }

  /**
   * Returns the list for a process that has {@code knownVersion}; null if that is the current one.
   */
  QuarantineList updateFor(long knownVersion) {
    return state.quarantineVersion() == knownVersion ? null : state.quarantine();
  }

  /** Returns the parts of prompts that processes are asked about. */
  List<RequestFingerprint> suspectedParts() {
    return suspectedParts;
  }

  /** Records engine crashes; replies once a resulting quarantine is committed. */
  void onNotice(EngineEndNotice notice, ReplySink reply, long nowMs) {
    if (!group.isLeading()) {
      reply.reply(group.notLeader());
      return;
    }
    notice.ends().forEach(end -> detector.add(end, nowMs));
    notice.ends().forEach(end -> trials.onEngineCrash(end.engine(), nowMs - end.agoMs()));
    notice.served().forEach(served -> onServed(served, nowMs));
    judge(nowMs, () -> reply.reply(new EngineEndNoted()));
  }

  /**
   * Quarantines causes and releases what they exonerate; {@code onDecided} runs once that holds.
   */
  private void judge(long nowMs, Runnable onDecided) {
    List<RequestFingerprint> causes = detector.causes(state::isQuarantined);
    releaseExonerated(causes);
    suspectedParts = detector.suspectedParts();
    List<RequestFingerprint> newCauses =
        causes.stream()
            .filter(request -> !state.isQuarantined(request) && proposedRequests.add(request))
            .toList();
    if (newCauses.isEmpty()) {
      onDecided.run();
      return;
    }
    for (RequestFingerprint request : newCauses) {
      trials.onQuarantined(request, 0, nowMs);
      EVENTS.log(
          EventCode.REQUEST_QUARANTINED,
          "fingerprint",
          request.shortForm(),
          "crashes",
          detector.crashes(request),
          "evidence",
          detector.describeEvidence(request, nowMs));
    }
    group.propose(
        "",
        0,
        new QuarantineRequests(newCauses),
        committed -> {
          proposedRequests.removeAll(newCauses);
          if (isCommitted(committed)) {
            newCauses.forEach(request -> successRule.onDecided(request, nowMs));
          }
          onDecided.run();
        },
        clock);
  }

  /**
   * Grants or denies a trial to a process that does not tell its outcome: it counts as a crash at
   * the grant, and may be sent at any time.
   */
  void onTrialRequest(TrialRequest request, ReplySink reply, long nowMs) {
    if (!group.isLeading()) {
      reply.reply(group.notLeader());
      return;
    }
    List<RequestFingerprint> suspects = List.of(request.part());
    if (!state.isQuarantined(request.part()) || !trials.grant(request.part(), nowMs)) {
      reply.reply(new TrialReply(false));
      return;
    }
    long trial = ++unnamedTrials;
    logGrant(trial, suspects);
    trials.onCrashed(trial, suspects, UNKNOWN_ENGINE, nowMs);
    group.propose(
        "",
        0,
        new CountQuarantineTrial(request.part()),
        outcome -> reply.reply(new TrialReply(isCommitted(outcome))),
        clock);
  }

  /** Grants or denies a trial, or takes note of what became of it. */
  void onTrialNotice(TrialNotice notice, ReplySink reply, long nowMs) {
    if (!group.isLeading()) {
      reply.reply(group.notLeader());
      return;
    }
    List<RequestFingerprint> suspects = notice.suspects();
    suspects.stream()
        .filter(state::isQuarantined)
        .forEach(each -> trials.onQuarantined(each, state.quarantineTrials(each), nowMs));
    boolean accepted = true;
    switch (notice.state()) {
      case REQUESTED -> accepted = grant(notice, nowMs);
      case RUNNING -> trials.onRunning(notice.trial(), suspects, nowMs);
      case SERVED -> {
        trials.onServed(notice.trial(), suspects, nowMs);
        suspects.forEach(each -> onServed(new ServedFingerprint(each, notice.agoMs()), nowMs));
      }
      case CRASHED -> accepted = onTrialCrashed(notice, nowMs);
      default -> trials.onNoVerdict(notice.trial(), suspects, nowMs);
    }
    reply.reply(new TrialReply(accepted));
  }

  private boolean grant(TrialNotice notice, long nowMs) {
    boolean granted =
        notice.suspects().stream().allMatch(state::isQuarantined)
            && trials.grant(notice.trial(), notice.suspects(), nowMs);
    if (granted) {
      logGrant(notice.trial(), notice.suspects());
    }
    return granted;
  }

  private static void logGrant(long trial, List<RequestFingerprint> suspects) {
    EVENTS.log(
        EventCode.QUARANTINE_TRIAL,
        "trial",
        Long.toHexString(trial),
        "fingerprints",
        suspects.stream().map(RequestFingerprint::shortForm).toList());
  }

  /**
   * Counts a trial under which an engine crashed, so that a new leader knows of it. The process
   * tells it again until that is committed.
   */
  private boolean onTrialCrashed(TrialNotice notice, long nowMs) {
    long trial = notice.trial();
    long atMs = nowMs - notice.agoMs();
    trials.onCrashed(trial, notice.suspects(), notice.engine(), atMs);
    for (RequestFingerprint suspect : notice.suspects()) {
      if (trials.beginCount(trial, suspect)) {
        group.propose(
            "",
            0,
            new CountQuarantineTrial(suspect),
            outcome -> trials.endCount(trial, suspect, isCommitted(outcome)),
            clock);
      }
    }
    return !trials.isCounting(trial, notice.suspects());
  }

  private static boolean isCommitted(Message outcome) {
    return outcome instanceof ProposeReply proposed && proposed.result() instanceof Done;
  }

  /** A success disproves a quarantine unless enough engines crashed after it. */
  private void onServed(ServedFingerprint served, long nowMs) {
    RequestFingerprint fingerprint = served.fingerprint();
    long servedMs = nowMs - served.agoMs();
    detector.onServed(fingerprint, servedMs);
    if (state.isQuarantined(fingerprint)
        && !detector.hasSufficientEvidence(fingerprint)
        && successRule.mayDisprove(fingerprint, servedMs, nowMs)) {
      release(List.of(fingerprint), "it was served");
    }
  }

  /** Releases quarantined requests whose crashes are now explained by other causes. */
  private void releaseExonerated(List<RequestFingerprint> causes) {
    List<RequestFingerprint> exonerated =
        state.quarantine().requests().stream()
            .filter(request -> detector.isExonerated(request, causes))
            .toList();
    if (!exonerated.isEmpty()) {
      release(exonerated, "another request explains the ends");
    }
  }

  /** Forgets old crashes, and releases requests after {@link #QUARANTINE_DURATION_MS}. */
  void onStep(long nowMs) {
    if (nowMs < nextStepMs) {
      return;
    }
    nextStepMs = nowMs + STEP_INTERVAL_MS;
    detector.expire(nowMs);
    trials.expire(nowMs - QUARANTINE_DURATION_MS, nowMs);
    judge(nowMs, () -> {});
    List<RequestFingerprint> quarantinedRequests = state.quarantine().requests();
    quarantinedSinceMs.keySet().retainAll(quarantinedRequests);
    successRule.onQuarantine(quarantinedRequests, nowMs);
    List<RequestFingerprint> expiredRequests = new ArrayList<>();
    for (RequestFingerprint request : quarantinedRequests) {
      long sinceMs = quarantinedSinceMs.computeIfAbsent(request, key -> nowMs);
      trials.onQuarantined(request, state.quarantineTrials(request), nowMs);
      if (nowMs - sinceMs > QUARANTINE_DURATION_MS) {
        expiredRequests.add(request);
      }
    }
    if (!expiredRequests.isEmpty()) {
      release(expiredRequests, "held for long enough");
      expiredRequests.forEach(detector::remove);
    }
  }

  private void release(List<RequestFingerprint> suspects, String reason) {
    List<RequestFingerprint> requests = suspects.stream().filter(proposedReleases::add).toList();
    if (requests.isEmpty()) {
      return;
    }
    for (RequestFingerprint request : requests) {
      trials.onReleased(request);
      EVENTS.log(EventCode.REQUEST_RELEASED, "fingerprint", request.shortForm(), "reason", reason);
    }
    group.propose(
        "",
        0,
        new ReleaseRequests(requests),
        reply -> requests.forEach(proposedReleases::remove),
        clock);
  }
}
