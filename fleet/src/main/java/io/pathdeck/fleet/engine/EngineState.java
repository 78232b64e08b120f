package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.ColdStartLimit;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** State and load of one engine instance as known to this process; confined to one thread. */
public final class EngineState {
  private static final long FIRST_EJECTION_MS = 500;
  private static final long MAX_EJECTION_MS = 4_000;

  /**
   * How long an engine that is down gets no calls, even if no other engine is left. Without the
   * pause, a request would use up its attempts on refused connections before the engine list shows
   * the failure. It is short because the list may be late to show a restart, and a restarted engine
   * gets no calls during the pause.
   */
  private static final long DOWN_PAUSE_MS = 1_000;

  private static final double NEW_WAIT_WEIGHT = 0.4;
  private static final double WAIT_HALF_LIFE_MS = 400;

  private final long reportHalfLifeMs;
  private final ColdStartLimit coldStartLimit;
  private final EnginePace pace = new EnginePace();
  private final long instanceHash;
  private EngineInstance instance;
  private int inFlight;
  private double recentWaitMs;
  private long waitUpdatedAtMs;
  private long pendingPrefillTokens;
  private int peerCalls;
  private int otherCallsAtReport;
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private int consecutiveFailures;
  private long ejectedUntilMs;
  private long downUntilMs = Long.MIN_VALUE;
  private boolean removed;
  private long lastReceivedMs;
  private long lastStartMs;

  EngineState(EngineInstance instance, long reportHalfLifeMs, ColdStartLimit coldStartLimit) {
    this.coldStartLimit = coldStartLimit;
    this.instance = instance;
    this.reportHalfLifeMs = reportHalfLifeMs;
    byte[] lifeId = instance.lifeId().getBytes(StandardCharsets.UTF_8);
    this.instanceHash = LongHashFunction.xx3().hashBytes(lifeId);
  }

  void update(EngineInstance listed) {
    instance = listed;
  }

  /** The engine's latest entry in the engine list. */
  public EngineInstance instance() {
    return instance;
  }

  /** Hash of the instance's id, the same in all processes. */
  public long instanceHash() {
    return instanceHash;
  }

  /** Number of this process's calls in progress. */
  public int inFlight() {
    return inFlight;
  }

  /** Counts a call that was sent. */
  public void onStart(long nowMs) {
    if (inFlight == 0) {
      lastReceivedMs = Math.max(lastReceivedMs, nowMs);
    }
    inFlight++;
    lastStartMs = nowMs;
    coldStartLimit.onStart(instance, nowMs);
  }

  /** Removes a call that ended, successfully or not. */
  public void onEnd() {
    inFlight--;
  }

  /** Adds the prompt of a call that was sent; the engine has yet to prefill it. */
  public void onPromptSent(long promptTokens) {
    pendingPrefillTokens += promptTokens;
  }

  /** Removes the prompt of a call that received its first bytes, or ended without any. */
  public void onPrefillDone(long promptTokens) {
    pendingPrefillTokens -= promptTokens;
  }

  /** Number of prompt tokens sent by this process that await prefill, by estimate. */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /** Records that data arrived, which also resets the backoff after failures. */
  public void onDataReceived(long nowMs) {
    lastReceivedMs = nowMs;
    consecutiveFailures = 0;
  }

  /**
   * Time without received data while calls are in progress, counted at the earliest from the start
   * of the first; 0 if none are.
   */
  public long silenceMs(long nowMs) {
    return inFlight == 0 ? 0 : nowMs - lastReceivedMs;
  }

  /** Records how long a call waited for its first bytes, not counting the time for prefill. */
  public void onFirstBytes(long waitMs, long nowMs) {
    double previousWaitMs = recentWaitMs(nowMs);
    recentWaitMs = previousWaitMs + (waitMs - previousWaitMs) * NEW_WAIT_WEIGHT;
    waitUpdatedAtMs = nowMs;
  }

  /** Average recent wait for the first bytes, without prefill; decays with time. */
  public double recentWaitMs(long nowMs) {
    return recentWaitMs * Math.pow(0.5, (nowMs - waitUpdatedAtMs) / WAIT_HALF_LIFE_MS);
  }

  /** Updates the number of calls from other processes, and the pace if it is reported. */
  public void onLoadReport(EngineLoadReport report, long nowMs) {
    int knownCalls = inFlight + peerCalls;
    otherCallsAtReport = Math.max(0, report.running() + report.waiting() - knownCalls);
    reportedAtMs = nowMs;
    if (report.hasPace()) {
      pace.onPaceReport(report.pacePercent(), nowMs);
    }
  }

  /** The engine's pace as observed and reported. */
  public EnginePace pace() {
    return pace;
  }

  /** Sets the number of calls in progress that peers reported for this engine. */
  public void onPeerCalls(int calls) {
    peerCalls = calls;
  }

  /** Number of calls in progress that peers reported. */
  public int peerCalls() {
    return peerCalls;
  }

  /** Whether the engine reports its pace, because it shares its machine with others. */
  public boolean reportsPace() {
    return pace.isReported();
  }

  /** Ejects the engine after it failed a call, with exponential backoff. */
  public void onFailure(long nowMs) {
    onFailure(nowMs, MAX_EJECTION_MS);
  }

  /** Ejects the engine after it failed a call, with exponential backoff up to a limit. */
  public void onFailure(long nowMs, long maxEjectionMs) {
    consecutiveFailures++;
    long shift = Math.min(consecutiveFailures - 1, 3);
    ejectedUntilMs = nowMs + Math.min(maxEjectionMs, FIRST_EJECTION_MS << shift);
  }

  /** Ejects the engine for {@code ejectionMs} after it rejected a call because it is full. */
  public void onFull(long nowMs, long ejectionMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + ejectionMs);
  }

  /** Stops all calls: the instance was removed from the list, or another one has its address. */
  public void onRemoved() {
    removed = true;
  }

  /** Stops all calls to the instance for a short time, because it is down. */
  public void onDown(long nowMs) {
    downUntilMs = nowMs + DOWN_PAUSE_MS;
    coldStartLimit.onDown(instance, nowMs);
  }

  /** Applies how much longer the engine is cold, as it says itself; 0 if it is warm. */
  public void onColdTold(long coldLeftMs, long nowMs) {
    coldStartLimit.onColdTold(instance, coldLeftMs, nowMs);
  }

  /** Applies when the life of the engine that has just sent a report began. */
  public void onLifeReported(long bornMs, long nowMs) {
    coldStartLimit.onReport(instance, bornMs, nowMs);
  }

  /** Whether the engine is in service and not ejected. */
  public boolean isUsable(long nowMs) {
    return !isOutOfService(nowMs) && nowMs >= ejectedUntilMs;
  }

  /** Whether the engine must get no calls, even if no other engine is left. */
  public boolean isOutOfService(long nowMs) {
    return removed || instance.draining() || nowMs < downUntilMs;
  }

  /**
   * Estimated number of calls in progress: the sum of this process's calls, the calls that peers
   * reported, and the remaining calls in the latest load report, weighted by its age.
   */
  public double estimatedLoad(long nowMs) {
    double age = nowMs - reportedAtMs;
    double weight = Math.pow(0.5, age / reportHalfLifeMs);
    return inFlight + peerCalls + otherCallsAtReport * weight;
  }

  /** Age of the latest load report; -1 if there is none. */
  public long loadReportAgeMs(long nowMs) {
    return reportedAtMs < 0 ? -1 : nowMs - reportedAtMs;
  }

  /** When the latest call was sent. */
  long lastStartMs() {
    return lastStartMs;
  }
}
