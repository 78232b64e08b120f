package io.pathdeck.fleet.engine;

import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits how long connections to the engines of a service may stay idle before reuse. The limit is
 * derived from the shortest time after which an engine closed an idle connection, because a request
 * sent while the engine closes its connection may be lost.
 *
 * <p>An engine that ends closes its idle connections, too. So a limit holds only while the engine
 * that it was derived from is listed.
 */
final class IdleTimeouts {
  private static final long DEFAULT_LIMIT_MS = 4_000;
  private static final long MIN_LIMIT_MS = 200;
  private static final double SAFETY_FACTOR = 0.7;

  private final Map<String, Map<String, Long>> limitsMsByService = new HashMap<>();
  private Set<String> listedLifeIds = Set.of();

  long limitMs(String service) {
    return limitsMsByService.getOrDefault(service, Map.of()).values().stream()
        .reduce(DEFAULT_LIMIT_MS, Math::min);
  }

  void onIdleClosed(EngineInstance engine, long idleMs) {
    if (listedLifeIds.isEmpty() || listedLifeIds.contains(engine.lifeId())) {
      long limitMs = Math.max(MIN_LIMIT_MS, (long) (idleMs * SAFETY_FACTOR));
      limitsMsByService
          .computeIfAbsent(engine.service(), service -> new HashMap<>())
          .merge(engine.lifeId(), limitMs, Math::min);
    }
  }

  /** Forgets what engines that are not listed have shown. */
  void onListed(Set<String> lifeIds) {
    listedLifeIds = lifeIds;
    limitsMsByService.values().forEach(limits -> limits.keySet().retainAll(lifeIds));
    limitsMsByService.values().removeIf(Map::isEmpty);
  }
}
