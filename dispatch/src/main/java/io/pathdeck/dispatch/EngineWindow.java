package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineLoad;

/**
 * The concurrency window for batch items on one engine. It grows in steps while the engine has no
 * online requests and shrinks immediately when it has.
 */
final class EngineWindow {
  private final DispatchPolicy policy;
  EngineSpec spec;
  int runningItems;
  private int window;
  private boolean admitsItems;
  private long onlineSeenAtMs = Long.MIN_VALUE / 2;
  private EngineLoad load;
  private long loadReportedAtMs = Long.MIN_VALUE / 2;
  private long lastStepMs;
  private long closedUntilMs;
  private long failureBackoffMs;
  private long nextProbeMs;

  EngineWindow(EngineSpec spec, DispatchPolicy policy) {
    this.spec = spec;
    this.policy = policy;
  }

  void onLoad(EngineLoad reported, long nowMs) {
    load = reported;
    loadReportedAtMs = nowMs;
    if (reported.online() > 0) {
      onlineSeenAtMs = nowMs;
      window = Math.min(window, policy.maxItemsWithOnline());
    }
  }

  void onSuccess() {
    failureBackoffMs = 0;
  }

  void onFailure(long nowMs) {
    failureBackoffMs = Math.min(10_000, Math.max(500, failureBackoffMs * 2));
    closedUntilMs = nowMs + failureBackoffMs;
    window = 0;
  }

  void closeUntil(long untilMs) {
    closedUntilMs = Math.max(closedUntilMs, untilMs);
    window = 0;
  }

  /** Grows the window by a step, or closes it if the engine is unavailable or its load unknown. */
  void poll(long nowMs) {
    boolean loadKnown = load != null && nowMs - loadReportedAtMs <= policy.loadExpiryMs();
    if (spec.draining() || nowMs < closedUntilMs || !loadKnown) {
      window = 0;
      admitsItems = false;
      return;
    }
    boolean onlineIdle = isOnlineIdle(nowMs);
    int limit = onlineIdle ? spec.batchSlots() : policy.maxItemsWithOnline();
    admitsItems = onlineIdle || policy.maxItemsWithOnline() >= spec.batchSlots();
    if (nowMs - lastStepMs >= policy.windowStepMs()) {
      lastStepMs = nowMs;
      window = Math.min(limit, window + policy.windowStep());
    }
    window = Math.min(window, limit);
  }

  /** Returns whether the engine has been without online requests for the idle time. */
  private boolean isOnlineIdle(long nowMs) {
    return load.online() == 0 && nowMs - onlineSeenAtMs >= policy.onlineIdleMs();
  }

  /**
   * Returns the number of items that may start; normally none alongside online requests, because an
   * item's prefill delays the tokens of all other requests.
   */
  int freeSlots() {
    return admitsItems ? Math.max(0, window - runningItems) : 0;
  }

  /** Returns the number of running items to preempt. */
  int excessItems() {
    return Math.max(0, runningItems - window);
  }

  boolean isProbeDue(long nowMs) {
    boolean fresh = nowMs - loadReportedAtMs < policy.probeIntervalMs();
    if (fresh || nowMs < nextProbeMs) {
      return false;
    }
    nextProbeMs = nowMs + policy.probeIntervalMs();
    return true;
  }
}
