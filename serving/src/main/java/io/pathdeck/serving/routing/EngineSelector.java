package io.pathdeck.serving.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses an engine: own zone first with spill-over; the first engine with room in a common order;
 * when all are busy, prefix affinity under a load bound, else the less loaded of two.
 */
final class EngineSelector {
  private static final LongHashFunction HASH = LongHashFunction.xx();

  /** The key of the common order in which engines are filled. */
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
   * The subset of a service's engines that this node uses, so that no node follows all of a large
   * fleet: the highest by rendezvous hashing, engines of the own zone first.
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
    // The rest comes from all zones, so that the loss of a zone leaves every node with engines.
    List<EngineState> others = new ArrayList<>(ranked.subList(local, ranked.size()));
    others.sort(Comparator.comparing(engine -> -rank(engine.spec.name(), nodeId.hashCode())));
    chosen.addAll(others.subList(0, settings.candidateCount() - local));
    return chosen;
  }

  /** The engine for a request, or null when none is usable. */
  EngineState select(List<EngineState> candidates, long prefixHash, EngineState avoid, long nowMs) {
    List<EngineState> usable = usableEngines(candidates, avoid, nowMs);
    if (usable.isEmpty()) {
      return avoid != null && avoid.isUsable(settings, nowMs) ? avoid : null;
    }
    List<EngineState> pool = preferLocalZone(usable, nowMs);
    return firstWithCapacity(pool, nowMs)
        .orElseGet(() -> selectByAffinity(pool, prefixHash, nowMs));
  }

  /**
   * Fills engines one after the other, in an order that all nodes share. So online requests gather
   * on few engines, and the others are idle for batch items, which need no yielding there.
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
      List<EngineState> candidates, EngineState avoid, long nowMs) {
    List<EngineState> usable = new ArrayList<>();
    for (EngineState engine : candidates) {
      if (engine != avoid && engine.isUsable(settings, nowMs)) {
        usable.add(engine);
      }
    }
    return usable;
  }

  /** The own zone's engines, unless those of other zones are clearly less loaded. */
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
