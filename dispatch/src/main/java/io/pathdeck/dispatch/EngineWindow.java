package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineLoad;

/**
 * How many batch items may run on one engine. The window opens step by step while the engine has no
 * online work, and closes at once when it has some.
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

  /** Opens the window by a step when the engine is known to be idle. */
  void poll(long nowMs) {
    boolean known = load != null && nowMs - loadReportedAtMs <= policy.loadExpiryMs();
    if (spec.draining() || nowMs < closedUntilMs || !known) {
      window = 0;
      admitsItems = false;
      return;
    }
    boolean quiet = isOnlineIdle(nowMs);
    int limit = quiet ? spec.batchSlots() : policy.maxItemsWithOnline();
    admitsItems = quiet || policy.maxItemsWithOnline() >= spec.batchSlots();
    if (nowMs - lastStepMs >= policy.windowStepMs()) {
      lastStepMs = nowMs;
      window = Math.min(limit, window + policy.windowStep());
    }
    window = Math.min(window, limit);
  }

  /** Whether no online work was seen for a while. */
  private boolean isOnlineIdle(long nowMs) {
    return load.online() == 0 && nowMs - onlineSeenAtMs >= policy.onlineIdleMs();
  }

  /**
   * How many more items may start: none beside online work, because reading an item's prompt delays
   * the tokens of all others.
   */
  int freeSlots() {
    return admitsItems ? Math.max(0, window - runningItems) : 0;
  }

  /** How many running items must yield. */
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
