package io.pathdeck.serving.routing;

/**
 * Passive health check of one engine. Failures eject it for exponentially increasing times; after
 * an ejection its concurrency limit starts at one request and doubles with each success.
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

  /** Returns the maximum number of requests in flight during recovery. */
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

  /** Records a failure; returns whether it ejected the engine. */
  boolean onFailure(boolean ejectImmediately, long nowMs) {
    consecutiveFailures++;
    boolean eject = ejectImmediately || consecutiveFailures >= settings.ejectAfterFailures();
    boolean recovering = concurrencyLimit != Integer.MAX_VALUE;
    if (isEjected(nowMs) || !(eject || recovering)) {
      return false;
    }
    eject(nowMs);
    return true;
  }

  private void eject(long nowMs) {
    long durationMs = settings.minEjectionMs() << Math.min(ejections, 16);
    ejectedUntilMs = nowMs + Math.min(settings.maxEjectionMs(), durationMs);
    ejections++;
    consecutiveFailures = 0;
    concurrencyLimit = 1;
  }

  /** Stops new requests until a time without counting a failure. */
  void suspendUntil(long untilMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, untilMs);
  }
}
