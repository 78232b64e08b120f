package io.pathdeck.fleet.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * How long idle connections to a service's engines may be used, learnt from those that engines
 * closed: a request on a connection that is being closed may be lost.
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
    long limit = Math.max(MIN_LIMIT_MS, (long) (idleMs * SAFETY_FACTOR));
    limits.merge(service, limit, Math::min);
  }
}
