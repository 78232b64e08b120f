package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** What this process knows of one life of an engine; confined to one thread. */
public final class EngineState {
  private static final long FIRST_EJECTION_MS = 500;
  private static final long MAX_EJECTION_MS = 4_000;

  /**
   * How long an engine that has ended gets nothing, not even when no other is left: the list shows
   * its end and its return some seconds late, and a request that meets some refused connections is
   * refused itself.
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

  /** The engine as the list shows it. */
  public EngineInstance instance() {
    return instance;
  }

  /** Names this life of the engine in a few bytes, alike in all processes. */
  public long instanceHash() {
    return instanceHash;
  }

  /** The calls of this process that are under way. */
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

  /** A call has ended, however. */
  public void onEnd() {
    inFlight--;
  }

  /** A call with this prompt was sent and has brought nothing yet. */
  public void onPromptSent(long promptTokens) {
    pendingPrefillTokens += promptTokens;
  }

  /** A call with this prompt has brought its first bytes, or has ended without. */
  public void onPrefillDone(long promptTokens) {
    pendingPrefillTokens -= promptTokens;
  }

  /** The tokens of this process's prompts that the engine has probably not read yet. */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /** The engine has sent something. */
  public void onDataReceived(long nowMs) {
    lastReceivedMs = nowMs;
    failures = 0;
  }

  /** For how long nothing was heard while calls are under way; 0 when none is. */
  public long silenceMs(long nowMs) {
    return inFlight == 0 ? 0 : nowMs - lastReceivedMs;
  }

  /** A call brought its first bytes after {@code waitMs} beyond the reading of its prompt. */
  public void onFirstBytes(long waitMs, long nowMs) {
    double recent = recentWaitMs(nowMs);
    recentWaitMs = recent + (waitMs - recent) * NEW_WAIT_WEIGHT;
    waitUpdatedAtMs = nowMs;
  }

  /** How long calls of late waited for their first bytes; it fades with time. */
  public double recentWaitMs(long nowMs) {
    return recentWaitMs * Math.pow(0.5, (nowMs - waitUpdatedAtMs) / WAIT_HALF_LIFE_MS);
  }

  /** The engine told its load. */
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

  /** Other processes have told how many calls of theirs are under way here. */
  public void onPeerCalls(int calls) {
    peerCalls = calls;
  }

  /** The calls that peers have told. */
  public int peerCalls() {
    return peerCalls;
  }

  /** Whether the engine says how long work takes there: it shares its machine with others. */
  public boolean reportsPace() {
    return pace.isReported();
  }

  /** A call failed for a reason that speaks against the engine. */
  public void onFailure(long nowMs) {
    failures++;
    long shift = Math.min(failures - 1, 3);
    ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << shift);
  }

  /** The engine refused a call because it is full. */
  public void onFull(long nowMs, long forMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + forMs);
  }

  /** Another engine has the address now. */
  public void onGone() {
    gone = true;
  }

  /** This life of the engine has ended. */
  public void onDown(long nowMs) {
    downUntilMs = nowMs + DOWN_PAUSE_MS;
  }

  /** Whether new calls may be sent. */
  public boolean isUsable(long nowMs) {
    return !isOutOfService(nowMs) && nowMs >= ejectedUntilMs;
  }

  /** Whether calls must not be sent, however few other engines there are. */
  public boolean isOutOfService(long nowMs) {
    return gone || instance.draining() || nowMs < downUntilMs;
  }

  /**
   * The requests on the engine: this process's own, those that peers tell, and those of others that
   * the newest report showed beyond these.
   */
  public double estimatedLoad(long nowMs) {
    double age = nowMs - reportedAtMs;
    double weight = Math.pow(0.5, age / reportHalfLifeMs);
    return inFlight + peerCalls + otherCallsAtReport * weight;
  }

  /** How old the engine's newest report of its load is; -1 when there is none. */
  public long loadAgeMs(long nowMs) {
    return reportedAtMs < 0 ? -1 : nowMs - reportedAtMs;
  }

  /** When the newest call was sent. */
  long lastStartMs() {
    return lastStartMs;
  }
}
