package io.pathdeck.serving.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Selects an engine: the local zone is preferred, with spill-over to others. Within the zone, the
 * first engine with capacity in an order shared by all nodes is selected. If all are busy, prefix
 * affinity decides up to a load limit, and otherwise the less loaded of two random engines.
 */
final class EngineSelector {
  private static final LongHashFunction HASH = LongHashFunction.xx();

  /** The hash key that gives all nodes the same order of engines. */
  private static final long PACKING_HASH_KEY = 1;

  private final RoutingSettings settings;
  private final String nodeId;
  private final String zone;
  private final SplittableRandom random;

  EngineSelector(RoutingSettings settings, String nodeId, String zone, long seed) {
    this.settings = settings;
    this.nodeId = nodeId;
    this.zone = zone;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Returns the engines of a service that this node uses, which bounds the state per node in a
   * large fleet: the highest by rendezvous hashing, engines of the local zone first.
   */
  List<EngineState> candidates(List<EngineState> engines) {
    if (engines.size() <= settings.candidateCount()) {
      return engines;
    }
    List<EngineState> ranked = new ArrayList<>(engines);
    ranked.sort(
        Comparator.comparing((EngineState engine) -> !engine.spec.zone().equals(zone))
            .thenComparing(engine -> -rank(engine.spec.name(), nodeId.hashCode())));
    int local = settings.candidateCount() * 3 / 4;
    List<EngineState> chosen = new ArrayList<>(ranked.subList(0, local));
    // The rest comes from all zones, so every node keeps engines when a zone fails.
    List<EngineState> others = new ArrayList<>(ranked.subList(local, ranked.size()));
    others.sort(Comparator.comparing(engine -> -rank(engine.spec.name(), nodeId.hashCode())));
    chosen.addAll(others.subList(0, settings.candidateCount() - local));
    return chosen;
  }

  /** Returns the engine for a request, or null if none is usable. */
  EngineState select(
      List<EngineState> candidates, long prefixHash, EngineState lastFailedEngine, long nowMs) {
    List<EngineState> usable = usableEngines(candidates, lastFailedEngine, nowMs);
    if (usable.isEmpty()) {
      return lastFailedEngine != null && lastFailedEngine.isUsable(settings, nowMs)
          ? lastFailedEngine
          : null;
    }
    List<EngineState> pool = preferLocalZone(usable, nowMs);
    return firstWithCapacity(pool, nowMs)
        .orElseGet(() -> selectByAffinity(pool, prefixHash, nowMs));
  }

  /**
   * Fills engines in an order shared by all nodes, which concentrates online requests on few
   * engines and leaves the others to batch items without preemption.
   */
  private Optional<EngineState> firstWithCapacity(List<EngineState> pool, long nowMs) {
    return pool.stream()
        .filter(engine -> engine.loadWithPrefills(nowMs) < settings.packingLoadLimit())
        .max(Comparator.comparingLong(engine -> rank(engine.spec.name(), PACKING_HASH_KEY)));
  }

  private EngineState selectByAffinity(List<EngineState> pool, long prefixHash, long nowMs) {
    EngineState preferred = highestRanked(pool, prefixHash);
    double average = pool.stream().mapToInt(engine -> engine.load(nowMs)).average().orElse(0);
    if (preferred.load(nowMs) <= average * settings.affinityLoadFactor() + 1) {
      return preferred;
    }
    return lessLoadedOfTwo(pool, nowMs);
  }

  private List<EngineState> usableEngines(
      List<EngineState> candidates, EngineState lastFailedEngine, long nowMs) {
    List<EngineState> usable = new ArrayList<>();
    for (EngineState engine : candidates) {
      if (engine != lastFailedEngine && engine.isUsable(settings, nowMs)) {
        usable.add(engine);
      }
    }
    return usable;
  }

  /** Returns the engines of the local zone, or all if another zone is clearly less loaded. */
  private List<EngineState> preferLocalZone(List<EngineState> usable, long nowMs) {
    List<EngineState> local = new ArrayList<>();
    for (EngineState engine : usable) {
      if (engine.spec.zone().equals(zone)) {
        local.add(engine);
      }
    }
    if (local.isEmpty() || local.size() == usable.size()) {
      return usable;
    }
    int bestLocal = minLoad(local, nowMs);
    int bestOfAll = minLoad(usable, nowMs);
    return bestLocal - bestOfAll >= settings.spillOverLoadDifference() ? usable : local;
  }

  private static int minLoad(List<EngineState> engines, long nowMs) {
    return engines.stream().mapToInt(engine -> engine.load(nowMs)).min().orElse(0);
  }

  private static EngineState highestRanked(List<EngineState> engines, long prefixHash) {
    EngineState best = engines.get(0);
    long bestRank = Long.MIN_VALUE;
    for (EngineState engine : engines) {
      long rank = rank(engine.spec.name(), prefixHash);
      if (rank > bestRank) {
        best = engine;
        bestRank = rank;
      }
    }
    return best;
  }

  private EngineState lessLoadedOfTwo(List<EngineState> engines, long nowMs) {
    EngineState first = engines.get(random.nextInt(engines.size()));
    EngineState second = engines.get(random.nextInt(engines.size()));
    return first.load(nowMs) <= second.load(nowMs) ? first : second;
  }

  private static long rank(String name, long key) {
    return LongHashFunction.xx(key).hashChars(name) ^ HASH.hashLong(key);
  }
}
