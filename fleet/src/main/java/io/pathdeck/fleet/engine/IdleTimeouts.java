package io.pathdeck.fleet.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * How long idle connections to the engines of a service may be reused, learned from the connections
 * that engines closed. A request sent while the engine closes the connection may be lost.
 */
final class IdleTimeouts {
  private static final long DEFAULT_LIMIT_MS = 4_000;
  private static final long MIN_LIMIT_MS = 200;
  private static final double SAFETY_FACTOR = 0.7;

  private final Map<String, Long> limits = new HashMap<>();

  long limitMs(String service) {
    return limits.getOrDefault(service, DEFAULT_LIMIT_MS);
  }

  void onIdleClosed(String service, long idleMs) {
    long limitMs = Math.max(MIN_LIMIT_MS, (long) (idleMs * SAFETY_FACTOR));
    limits.merge(service, limitMs, Math::min);
  }
}
