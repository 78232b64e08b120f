package io.pathdeck.fleet.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses an engine for a request: the least loaded one, the own zone first, and for requests that
 * share a long part of their prompt the engine that has probably read it already.
 */
public final class EngineChoice {
  /** How much load, as a share of an engine's slots, a way to another zone is worth. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** Up to this load an engine is preferred for what its cache holds. */
  private static final double AFFINITY_LOAD_LIMIT = 0.7;

  private static final double JITTER = 0.02;
  private static final int DEFAULT_SLOTS = 8;

  private final String zone;
  private final SplittableRandom random;

  /** Chooses for a process in {@code zone}. */
  public EngineChoice(String zone, long seed) {
    this.zone = zone;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Chooses among {@code candidates}.
   *
   * @param affinityKey the long shared part of the prompt; empty when there is none
   */
  public Optional<EngineState> choose(
      List<EngineState> candidates, String affinityKey, long nowMs) {
    if (!affinityKey.isEmpty()) {
      Optional<EngineState> preferred = preferred(candidates, affinityKey);
      if (preferred.isPresent() && load(preferred.get(), nowMs) < AFFINITY_LOAD_LIMIT) {
        return preferred;
      }
    }
    EngineState best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : candidates) {
      double cost = load(engine, nowMs) + zonePenalty(engine) + random.nextDouble() * JITTER;
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double zonePenalty(EngineState engine) {
    return engine.instance().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
  }

  /** The load as a share of the engine's slots. */
  public static double load(EngineState engine, long nowMs) {
    int slots = engine.instance().slots() > 0 ? engine.instance().slots() : DEFAULT_SLOTS;
    return engine.estimatedLoad(nowMs) / slots;
  }

  /** Rendezvous hashing among the engines of the own zone, or among all when it has none. */
  private Optional<EngineState> preferred(List<EngineState> candidates, String key) {
    List<EngineState> near =
        candidates.stream().filter(engine -> engine.instance().zone().equals(zone)).toList();
    EngineState best = null;
    long bestHash = Long.MIN_VALUE;
    for (EngineState engine : near.isEmpty() ? candidates : near) {
      String text = key + '|' + engine.instance().id();
      long hash = LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
      if (best == null || hash > bestHash) {
        best = engine;
        bestHash = hash;
      }
    }
    return Optional.ofNullable(best);
  }
}
