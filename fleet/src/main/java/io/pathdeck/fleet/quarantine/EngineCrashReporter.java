package io.pathdeck.fleet.quarantine;

import io.netty.channel.EventLoop;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.ServedFingerprint;
import io.pathdeck.protocol.message.EngineEndNoted;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.message.Message;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Reports to the leading coordinator which requests were in progress when engines crashed; confined
 * to the event loop.
 *
 * <p>A report is retried until a leader accepts it. Leaders do not replicate reported crashes, so
 * all recent crashes are sent again to a new leader.
 */
public final class EngineCrashReporter {
  /** Lets one report cover all requests that a crash interrupted: they fail within milliseconds. */
  private static final long BATCH_DELAY_MS = 10;

  private static final long RETRY_PAUSE_MS = 200;
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long ATTEMPT_TIMEOUT_MS = 300;

  /** Bounds the memory for crashes to send again to a new leader, at about 200 bytes each. */
  private static final int MAX_RECENT_CRASHES = 512;

  /** Bounds the memory for successes to send again to a new leader. */
  private static final int MAX_RECENT_SERVED = 512;

  /** Bounds the size of a report. */
  private static final int MAX_CRASHES_PER_REPORT = 128;

  /** A leader that is reachable accepts a report much sooner. */
  private static final long LEADER_AWAY_MS = 1_000;

  /** A crash that interrupted a request, and when it happened. */
  private record TimedCrash(EngineEnd crash, long atMs) {}

  private final EventLoop eventLoop;
  private final LeaderCalls leader;
  private final Runnable onAccepted;
  private final TrialReporter trialReporter;
  private final HeldBackSends heldBackSends = new HeldBackSends();
  private final Deque<TimedCrash> recentCrashes = new ArrayDeque<>();
  private final Set<TimedCrash> unreportedCrashes = new LinkedHashSet<>();
  private final Map<RequestFingerprint, Long> recentServedMs = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> unreportedServedMs = new HashMap<>();
  private boolean sending;

  /** A report that was sent before the latest change may be known to an earlier leader only. */
  private int leaderChanges;

  private LongConsumer crashesReportedListener = nowMs -> {};

  /**
   * Creates a reporter.
   *
   * @param eventLoop runs the methods, timers and {@code onAccepted}
   * @param coordinatorClient sends messages to the leading coordinator
   * @param onAccepted run after the leader accepted a report, for example to fetch the updated
   *     quarantine list
   */
  public EngineCrashReporter(
      EventLoop eventLoop, GroupClient coordinatorClient, Runnable onAccepted) {
    this(
        (message, timeoutMs, attemptTimeoutMs) ->
            coordinatorClient.call(message, timeoutMs, attemptTimeoutMs),
        eventLoop,
        onAccepted);
  }

  EngineCrashReporter(LeaderCalls leader, EventLoop eventLoop, Runnable onAccepted) {
    this.leader = leader;
    this.eventLoop = eventLoop;
    this.onAccepted = onAccepted;
    this.trialReporter = new TrialReporter(eventLoop, leader);
  }

  /** Tells the leading coordinator about trials of what is held back. */
  TrialReporter trialReporter() {
    return trialReporter;
  }

  /** Sets what runs, with the time, once a leader has accepted all crashes. */
  void setCrashesReportedListener(LongConsumer listener) {
    crashesReportedListener = listener;
  }

  /** The sends that this process refused, for its metrics. */
  public HeldBackSends heldBackSends() {
    return heldBackSends;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  void reportCrashes(List<EngineEnd> crashes, long nowMs) {
    for (EngineEnd crash : crashes) {
      TimedCrash timed = new TimedCrash(crash, nowMs - crash.agoMs());
      unreportedCrashes.add(timed);
      recentCrashes.add(timed);
    }
    while (recentCrashes.size() > MAX_RECENT_CRASHES) {
      unreportedCrashes.remove(recentCrashes.removeFirst());
    }
    sendAfter(BATCH_DELAY_MS);
  }

  /** Reports that a request, or a request with a part of a prompt, was served to its end. */
  void reportServed(RequestFingerprint served, long atMs) {
    recentCrashes.removeIf(crash -> isClearedBy(served, atMs, crash));
    unreportedCrashes.removeIf(crash -> isClearedBy(served, atMs, crash));
    unreportedServedMs.merge(served, atMs, Math::max);
    recentServedMs.remove(served);
    recentServedMs.put(served, atMs);
    if (recentServedMs.size() > MAX_RECENT_SERVED) {
      Iterator<RequestFingerprint> oldest = recentServedMs.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    sendAfter(BATCH_DELAY_MS);
  }

  /** A served part clears itself only: the other parts of the request may be the cause. */
  private static boolean isClearedBy(RequestFingerprint served, long atMs, TimedCrash crash) {
    return crash.crash().request().equals(served) && crash.atMs() <= atMs;
  }

  /** Whether a crash could not be reported for longer than a reachable leader needs. */
  boolean isLeaderAway(long nowMs) {
    return unreportedCrashes.stream().anyMatch(crash -> nowMs - crash.atMs() > LEADER_AWAY_MS);
  }

  /** Sends the recent crashes and successes again, because a new leader does not know them. */
  public void onNewLeader() {
    leaderChanges++;
    forgetExpired(nowMs());
    unreportedCrashes.addAll(recentCrashes);
    unreportedServedMs.putAll(recentServedMs);
    if (hasUnreported()) {
      sendAfter(BATCH_DELAY_MS);
    }
  }

  /** Forgets what no longer counts: a new leader would judge it before it expires there. */
  private void forgetExpired(long nowMs) {
    long fromMs = nowMs - CrashCauseDetector.EVIDENCE_TTL_MS;
    recentCrashes.removeIf(crash -> crash.atMs() < fromMs);
    unreportedCrashes.removeIf(crash -> crash.atMs() < fromMs);
    recentServedMs.values().removeIf(atMs -> atMs < fromMs);
  }

  private boolean hasUnreported() {
    return !unreportedCrashes.isEmpty() || !unreportedServedMs.isEmpty();
  }

  private void sendAfter(long delayMs) {
    if (!sending) {
      sending = true;
      eventLoop.schedule(this::send, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void send() {
    long nowMs = nowMs();
    List<TimedCrash> crashes = unreportedCrashes.stream().limit(MAX_CRASHES_PER_REPORT).toList();
    Map<RequestFingerprint, Long> servedMs = Map.copyOf(unreportedServedMs);
    int changesBefore = leaderChanges;
    leader
        .call(notice(crashes, servedMs, nowMs), CALL_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAcceptAsync(
            result -> onReply(crashes, servedMs, result, changesBefore == leaderChanges),
            eventLoop);
  }

  private static EngineEndNotice notice(
      List<TimedCrash> crashes, Map<RequestFingerprint, Long> servedMs, long nowMs) {
    return new EngineEndNotice(
        crashes.stream().map(timed -> timed.crash().withAge(nowMs - timed.atMs())).toList(),
        servedMs.entrySet().stream()
            .map(served -> new ServedFingerprint(served.getKey(), nowMs - served.getValue()))
            .toList());
  }

  private void onReply(
      List<TimedCrash> crashes,
      Map<RequestFingerprint, Long> servedMs,
      Result<Message, GroupCallError> result,
      boolean isSameLeader) {
    sending = false;
    boolean accepted = isSameLeader && result.isOk() && result.value() instanceof EngineEndNoted;
    if (accepted) {
      crashes.forEach(unreportedCrashes::remove);
      servedMs.forEach(unreportedServedMs::remove);
      if (unreportedCrashes.isEmpty()) {
        crashesReportedListener.accept(nowMs());
      }
      onAccepted.run();
    }
    if (hasUnreported()) {
      sendAfter(accepted ? BATCH_DELAY_MS : RETRY_PAUSE_MS);
    }
  }
}
