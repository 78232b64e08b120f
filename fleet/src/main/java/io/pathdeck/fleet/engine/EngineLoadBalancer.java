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
 * waits for its first bytes, and a penalty for another zone. Each long shared prefix has an owner:
 * the engine that rendezvous hashing selects, the same in all processes. The owner probably has the
 * prefix in its cache, so it is chosen until its additional load costs more than prefilling the
 * prefix elsewhere.
 *
 * <p>If engines of the service report their pace, load and prompts are weighted by it, so a slow
 * engine is chosen only when the fast ones have much more load.
 */
public final class EngineLoadBalancer {
  /** Shorter shared prefixes have no owner. */
  private static final long MIN_AFFINITY_TOKENS = 1_500;

  /** Cost of an engine in another zone, as a share of its slots. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** Number of tokens to prefill that costs as much as a full load. */
  private static final double TOKENS_PER_FULL_LOAD = 12_000;

  /** Recent wait for the first bytes, without prefill, that costs as much as a full load. */
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

  /** Chooses among {@code candidates}, weighted by the {@code pace} of their service. */
  public Optional<Placement> choose(
      List<EngineState> candidates, ServicePace pace, Prompt prompt, long nowMs) {
    Optional<EngineState> owner = prefixOwner(candidates, prompt);
    Placement best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : candidates) {
      boolean isCached = owner.filter(engine::equals).isPresent();
      long prefillTokens = prompt.tokens() - (isCached ? prompt.sharedPrefixTokens() : 0);
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
   * Cost of load and prefill. If the engines differ in pace, it is weighted by pace and includes
   * the slot that the request itself will use. Without that slot, slow and fast engines would cost
   * the same whenever they look idle to this process, because it does not see all their requests.
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
