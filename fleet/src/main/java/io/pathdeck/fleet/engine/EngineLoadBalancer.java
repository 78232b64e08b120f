package io.pathdeck.fleet.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the engine with the lowest cost for a request.
 *
 * <p>The cost is the sum of the engine's load, the prompt tokens that it has to prefill, recent
 * waits there, and a penalty for another zone. Each long shared prefix has an owner, found by
 * rendezvous hashing and thus the same for all processes, which probably has the prefix in its
 * cache. Any other engine would prefill the prefix again, so the owner is chosen until its load
 * outweighs that.
 *
 * <p>If the engines of a service report their pace, load and prompts are weighted by it: a slow
 * engine is chosen if it has less load, and before a fast one that is full.
 */
public final class EngineLoadBalancer {
  /** Shorter shared prefixes have no owner. */
  private static final long MIN_AFFINITY_TOKENS = 1_500;

  /** Cost of an engine in another zone, as a share of its slots. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** Tokens to prefill that cost as much as a full load. */
  private static final double TOKENS_PER_FULL_LOAD = 12_000;

  /** Recent wait for the first bytes that costs as much as a full load. */
  private static final double WAIT_MS_PER_FULL_LOAD = 600;

  private static final double JITTER = 0.02;
  private static final int DEFAULT_SLOTS = 8;

  private final String zone;
  private final SplittableRandom random;

  /** Creates a load balancer for a process in {@code zone}. */
  public EngineLoadBalancer(String zone, long seed) {
    this.zone = zone;
    this.random = new SplittableRandom(seed);
  }

  /** Chooses among {@code candidates}, all of one service; empty if there are none. */
  public Optional<Placement> choose(List<EngineState> candidates, Prompt prompt, long nowMs) {
    return choose(candidates, ServicePace.of(candidates, nowMs), prompt, nowMs);
  }

  /** Chooses among {@code candidates}, engines of a service with this {@code pace}. */
  public Optional<Placement> choose(
      List<EngineState> candidates, ServicePace pace, Prompt prompt, long nowMs) {
    Optional<EngineState> owner = prefixOwner(candidates, prompt);
    Placement best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : candidates) {
      boolean cached = owner.filter(engine::equals).isPresent();
      long prefillTokens = prompt.tokens() - (cached ? prompt.sharedPrefixTokens() : 0);
      double cost =
          workCost(engine, prefillTokens, pace, nowMs)
              + engine.recentWaitMs(nowMs) / WAIT_MS_PER_FULL_LOAD
              + zonePenalty(engine)
              + random.nextDouble() * JITTER;
      if (cost < bestCost) {
        best = new Placement(engine, prefillTokens);
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Cost of load and prefill. If engines are uneven, it is weighted by pace and includes the
   * request's own slot: otherwise a slow engine would cost as little as a fast one whenever both
   * look idle, which is often, because most of their requests come from other processes.
   */
  private static double workCost(
      EngineState engine, long prefillTokens, ServicePace pace, long nowMs) {
    double prefill = (engine.pendingPrefillTokens() + prefillTokens) / TOKENS_PER_FULL_LOAD;
    double work = load(engine, nowMs) + prefill;
    return pace.isUneven() ? (work + 1.0 / slots(engine)) * pace.currentRelativePace(engine) : work;
  }

  private double zonePenalty(EngineState engine) {
    return engine.instance().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
  }

  /** Estimated load as a share of the engine's slots. */
  public static double load(EngineState engine, long nowMs) {
    return engine.estimatedLoad(nowMs) / slots(engine);
  }

  private static int slots(EngineState engine) {
    int reported = engine.instance().slots();
    return reported > 0 ? reported : DEFAULT_SLOTS;
  }

  private static Optional<EngineState> prefixOwner(List<EngineState> candidates, Prompt prompt) {
    if (prompt.sharedPrefixTokens() < MIN_AFFINITY_TOKENS) {
      return Optional.empty();
    }
    EngineState best = null;
    long bestHash = Long.MIN_VALUE;
    for (EngineState engine : candidates) {
      String text = prompt.sharedPrefixId() + '|' + engine.instance().id();
      long hash = LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
      if (best == null || hash > bestHash) {
        best = engine;
        bestHash = hash;
      }
    }
    return Optional.ofNullable(best);
  }
}
