package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** What this process knows of one engine instance; confined to one thread. */
public final class EngineState {
  private static final long FIRST_EJECTION_MS = 500;
  private static final long MAX_EJECTION_MS = 4_000;

  /**
   * How long an engine that is down gets no calls, even if no other engine is left: the engine list
   * shows failure and restart some seconds late, and a request is rejected after several refused
   * connections.
   */
  private static final long DOWN_PAUSE_MS = 1_000;

  private static final double NEW_WAIT_WEIGHT = 0.4;
  private static final double WAIT_HALF_LIFE_MS = 400;

  private final long reportHalfLifeMs;
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
  private int failures;
  private long ejectedUntilMs;
  private long downUntilMs = Long.MIN_VALUE;
  private boolean gone;
  private long lastReceivedMs;
  private long lastStartMs;

  EngineState(EngineInstance instance, long reportHalfLifeMs) {
    this.instance = instance;
    this.reportHalfLifeMs = reportHalfLifeMs;
    byte[] lifeId = instance.lifeId().getBytes(StandardCharsets.UTF_8);
    this.instanceHash = LongHashFunction.xx3().hashBytes(lifeId);
  }

  void update(EngineInstance newer) {
    instance = newer;
  }

  /** The engine as listed. */
  public EngineInstance instance() {
    return instance;
  }

  /** Short id of this engine instance, the same in all processes. */
  public long instanceHash() {
    return instanceHash;
  }

  /** Number of calls of this process in progress. */
  public int inFlight() {
    return inFlight;
  }

  /** A call was sent. */
  public void onStart(long nowMs) {
    if (inFlight == 0) {
      lastReceivedMs = Math.max(lastReceivedMs, nowMs);
    }
    inFlight++;
    lastStartMs = nowMs;
  }

  /** A call ended, successfully or not. */
  public void onEnd() {
    inFlight--;
  }

  /** A call was sent whose prompt the engine still has to prefill. */
  public void onPromptSent(long promptTokens) {
    pendingPrefillTokens += promptTokens;
  }

  /** A call received its first bytes, or ended without any. */
  public void onPrefillDone(long promptTokens) {
    pendingPrefillTokens -= promptTokens;
  }

  /** Prompt tokens of this process that the engine has probably not prefilled yet. */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /** Data arrived from the engine. */
  public void onDataReceived(long nowMs) {
    lastReceivedMs = nowMs;
    failures = 0;
  }

  /** Time since data last arrived while calls are in progress; 0 if none are. */
  public long silenceMs(long nowMs) {
    return inFlight == 0 ? 0 : nowMs - lastReceivedMs;
  }

  /** The first bytes of a call arrived {@code waitMs} later than prefill alone takes. */
  public void onFirstBytes(long waitMs, long nowMs) {
    double recent = recentWaitMs(nowMs);
    recentWaitMs = recent + (waitMs - recent) * NEW_WAIT_WEIGHT;
    waitUpdatedAtMs = nowMs;
  }

  /** Average recent wait for the first bytes; decays with time. */
  public double recentWaitMs(long nowMs) {
    return recentWaitMs * Math.pow(0.5, (nowMs - waitUpdatedAtMs) / WAIT_HALF_LIFE_MS);
  }

  /** The engine reported its load. */
  public void onLoadReport(EngineLoadReport report, long nowMs) {
    int known = inFlight + peerCalls;
    otherCallsAtReport = Math.max(0, report.running() + report.waiting() - known);
    reportedAtMs = nowMs;
    if (report.hasPace()) {
      pace.onReported(report.pacePercent(), nowMs);
    }
  }

  /** How long work takes at the engine. */
  public EnginePace pace() {
    return pace;
  }

  /** Peers reported how many of their calls are in progress at this engine. */
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

  /** A call failed because of the engine; ejects it with exponential backoff. */
  public void onFailure(long nowMs) {
    failures++;
    long shift = Math.min(failures - 1, 3);
    ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << shift);
  }

  /** The engine rejected a call because it is full. */
  public void onFull(long nowMs, long forMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + forMs);
  }

  /** The engine is no longer listed, or another engine has its address. */
  public void onGone() {
    gone = true;
  }

  /** This engine instance is down. */
  public void onDown(long nowMs) {
    downUntilMs = nowMs + DOWN_PAUSE_MS;
  }

  /** Whether new calls may be sent. */
  public boolean isUsable(long nowMs) {
    return !isOutOfService(nowMs) && nowMs >= ejectedUntilMs;
  }

  /** Whether no calls may be sent, even if no other engine is left. */
  public boolean isOutOfService(long nowMs) {
    return gone || instance.draining() || nowMs < downUntilMs;
  }

  /**
   * Estimated number of requests at the engine: those of this process, those that peers reported,
   * and the others in the latest load report, weighted by its age.
   */
  public double estimatedLoad(long nowMs) {
    double age = nowMs - reportedAtMs;
    double weight = Math.pow(0.5, age / reportHalfLifeMs);
    return inFlight + peerCalls + otherCallsAtReport * weight;
  }

  /** Age of the latest load report; -1 if there is none. */
  public long loadAgeMs(long nowMs) {
    return reportedAtMs < 0 ? -1 : nowMs - reportedAtMs;
  }

  /** When the latest call was sent. */
  long lastStartMs() {
    return lastStartMs;
  }
}
