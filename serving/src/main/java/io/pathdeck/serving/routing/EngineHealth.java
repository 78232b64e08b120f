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
  private int concurrencyLimit = Integer.MAX_VALUE;

  EngineHealth(RoutingSettings settings) {
    this.settings = settings;
  }

  boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /** The most requests the engine may have in flight while it proves itself. */
  int concurrencyLimit() {
    return concurrencyLimit;
  }

  void onSuccess() {
    consecutiveFailures = 0;
    if (concurrencyLimit != Integer.MAX_VALUE) {
      concurrencyLimit = concurrencyLimit * 2;
      if (concurrencyLimit > settings.maxInFlightPerEngine()) {
        concurrencyLimit = Integer.MAX_VALUE;
        ejections = 0;
      }
    }
  }

  /** Counts a failure; returns whether it ejected the engine. */
  boolean onFailure(boolean certain, long nowMs) {
    consecutiveFailures++;
    boolean eject = certain || consecutiveFailures >= settings.ejectAfterFailures();
    boolean provingItself = concurrencyLimit != Integer.MAX_VALUE;
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
    concurrencyLimit = 1;
  }

  /** Keeps new work away for a while without counting a failure. */
  void suspendUntil(long untilMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, untilMs);
  }
}
