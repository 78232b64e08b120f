package io.pathdeck.fleet.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how long connections to the engines of a service may stay idle before reuse. The limit is
 * derived from the shortest time after which an engine closed an idle connection, because a request
 * sent while the engine closes its connection may be lost.
 */
final class IdleTimeouts {
  private static final long DEFAULT_LIMIT_MS = 4_000;
  private static final long MIN_LIMIT_MS = 200;
  private static final double SAFETY_FACTOR = 0.7;

  private final Map<String, Long> limitMsByService = new HashMap<>();

  long limitMs(String service) {
    return limitMsByService.getOrDefault(service, DEFAULT_LIMIT_MS);
  }

  void onIdleClosed(String service, long idleMs) {
    long limitMs = Math.max(MIN_LIMIT_MS, (long) (idleMs * SAFETY_FACTOR));
    limitMsByService.merge(service, limitMs, Math::min);
  }
}
