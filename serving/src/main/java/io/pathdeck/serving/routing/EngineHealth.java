package io.pathdeck.serving.routing;

/**
 * Passive health of one engine: failures eject it, each time for longer; after that a single
 * request tries it, and its allowance doubles with each success.
 */
final class EngineHealth {
  private final RoutingSettings settings;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilMs;
  private int allowance = Integer.MAX_VALUE;

  EngineHealth(RoutingSettings settings) {
    this.settings = settings;
  }

  boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /** The most requests the engine may have in flight while it proves itself. */
  int allowance() {
    return allowance;
  }

  void onSuccess() {
    consecutiveFailures = 0;
    if (allowance != Integer.MAX_VALUE) {
      allowance = allowance * 2;
      if (allowance > settings.maxInFlightPerEngine()) {
        allowance = Integer.MAX_VALUE;
        ejections = 0;
      }
    }
  }

  /** Counts a failure; returns whether it ejected the engine. */
  boolean onFailure(boolean certain, long nowMs) {
    consecutiveFailures++;
    boolean eject = certain || consecutiveFailures >= settings.ejectAfterFailures();
    boolean provingItself = allowance != Integer.MAX_VALUE;
    if (isEjected(nowMs) || !(eject || provingItself)) {
      return false;
    }
    eject(nowMs);
    return true;
  }

  private void eject(long nowMs) {
    long length = settings.minEjectionMs() << Math.min(ejections, 16);
    ejectedUntilMs = nowMs + Math.min(settings.maxEjectionMs(), length);
    ejections++;
    consecutiveFailures = 0;
    allowance = 1;
  }

  /** Keeps new work away for a while without counting a failure. */
  void avoidUntil(long untilMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, untilMs);
  }
}
