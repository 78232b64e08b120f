package io.pathdeck.serving.routing;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineLoad;
import java.util.ArrayDeque;

/** A node's state of one engine. */
final class EngineState {
  private static final long LOAD_EXPIRY_MS = 1_000;

  private static final long PREFILL_MS = 80;
  private static final int PREFILL_WEIGHT = 1;

  EngineSpec spec;
  final EngineHealth health;
  int inFlight;
  boolean leaving;
  private EngineLoad reportedLoad = new EngineLoad(0, 0, 0);
  private final ArrayDeque<Long> recentStartsMs = new ArrayDeque<>();
  private int inFlightAtReport;
  private long reportedAtMs = Long.MIN_VALUE / 2;

  EngineState(EngineSpec spec, EngineHealth health) {
    this.spec = spec;
    this.health = health;
  }

  void onLoad(EngineLoad load, long nowMs) {
    reportedLoad = load;
    inFlightAtReport = inFlight;
    reportedAtMs = nowMs;
  }

  /**
   * Returns the online load: the engine's report, adjusted by the requests that this node has
   * started and ended since, or only this node's requests in flight if the report is stale.
   */
  int load(long nowMs) {
    if (nowMs - reportedAtMs > LOAD_EXPIRY_MS) {
      return inFlight;
    }
    int correction = inFlight - inFlightAtReport;
    return Math.max(inFlight, reportedLoad.online() + reportedLoad.waiting() + correction);
  }

  /** Records the start of a request on the engine. */
  void onStarted(long nowMs) {
    inFlight++;
    recentStartsMs.addLast(nowMs);
  }

  /** Returns the load plus a weight for each request that is probably still in prefill. */
  int loadWithPrefills(long nowMs) {
    while (!recentStartsMs.isEmpty() && nowMs - recentStartsMs.peekFirst() > PREFILL_MS) {
      recentStartsMs.pollFirst();
    }
    return load(nowMs) + PREFILL_WEIGHT * recentStartsMs.size();
  }

  boolean isUsable(RoutingSettings settings, long nowMs) {
    return !spec.draining()
        && !leaving
        && !health.isEjected(nowMs)
        && inFlight < Math.min(settings.maxInFlightPerEngine(), health.concurrencyLimit());
  }
}
