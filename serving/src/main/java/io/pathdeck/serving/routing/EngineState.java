package io.pathdeck.serving.routing;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineLoad;

/** What a node knows of one engine. */
final class EngineState {
  private static final long LOAD_VALID_MS = 1_000;

  EngineSpec spec;
  final EngineHealth health;
  int inFlight;
  boolean leaving;
  private EngineLoad reported = new EngineLoad(0, 0, 0);
  private int inFlightAtReport;
  private long reportedAtMs = Long.MIN_VALUE / 2;

  EngineState(EngineSpec spec, EngineHealth health) {
    this.spec = spec;
    this.health = health;
  }

  void onLoad(EngineLoad load, long nowMs) {
    reported = load;
    inFlightAtReport = inFlight;
    reportedAtMs = nowMs;
  }

  /**
   * The online load: the engine's own report, corrected by what this node has started and ended
   * since, or this node's own count when the report is old.
   */
  int load(long nowMs) {
    if (nowMs - reportedAtMs > LOAD_VALID_MS) {
      return inFlight;
    }
    int correction = inFlight - inFlightAtReport;
    return Math.max(inFlight, reported.online() + reported.waiting() + correction);
  }

  boolean isUsable(RoutingSettings settings, long nowMs) {
    return !spec.draining()
        && !leaving
        && !health.isEjected(nowMs)
        && inFlight < Math.min(settings.maxInFlightPerEngine(), health.allowance());
  }
}
