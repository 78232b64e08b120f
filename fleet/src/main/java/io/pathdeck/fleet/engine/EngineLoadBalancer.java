package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.fleet.topology.ZoneDistance;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the engine with the lowest cost for a request.
 *
 * <p>The cost is the sum of the engine's load, the prompt tokens that it has to prefill, recent
 * waits for its first bytes, and a penalty for the distance. Each long shared prefix has an owner
 * in each region: the engine that rendezvous hashing selects, the same in all processes of the
 * region. The owner probably has the prefix in its cache, so it is chosen until its additional load
 * costs more than prefilling the prefix elsewhere.
 *
 * <p>A request leaves its region only if it would have to wait there: the longer way saves nothing
 * while an engine nearby has a free slot. Work that can wait is balanced over the regions instead,
 * so that it leaves slots to the requests of each.
 *
 * <p>If engines of the service report their pace, load and prompts are weighted by it, so a slow
 * engine is chosen only when the fast ones have much more load.
 */
public final class EngineLoadBalancer {
  /** Shorter shared prefixes have no owner. */
  private static final long MIN_AFFINITY_TOKENS = 1_500;

  /** Cost of an engine in another zone, as a share of its slots. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** Cost of an engine in another region, as a share of its slots: the longer way and its bytes. */
  private static final double OTHER_REGION_PENALTY = 0.4;

  /**
   * Recent wait for the first bytes up to which a request stays in its region, about twice the
   * round trip to another one.
   */
  private static final double MAX_NEARBY_WAIT_MS = 80;

  /** Number of tokens to prefill that costs as much as a full load. */
  private static final double TOKENS_PER_FULL_LOAD = 12_000;

  /** Recent wait for the first bytes, without prefill, that costs as much as a full load. */
  private static final double WAIT_MS_PER_FULL_LOAD = 600;

  private static final double JITTER = 0.02;
  private static final int DEFAULT_SLOTS = 8;

  private final String zone;
  private final Topology topology;
  private final RegionPreference preference;
  private final SplittableRandom random;

  /** Which engines of other regions are considered. */
  public enum RegionPreference {
    /** Those of other regions only if no engine of the own region is free. */
    OWN_REGION_WHILE_FREE,
    /** All, at a higher cost in other regions. */
    BALANCED
  }

  /** Creates a load balancer for a process in {@code zone} of a fleet without regions. */
  public EngineLoadBalancer(String zone, long seed) {
    this(zone, Topology.UNKNOWN, RegionPreference.BALANCED, seed);
  }

  /** Creates a load balancer for a process in {@code zone}. */
  public EngineLoadBalancer(
      String zone, Topology topology, RegionPreference preference, long seed) {
    this.zone = zone;
    this.topology = topology;
    this.preference = preference;
    this.random = new SplittableRandom(seed);
  }

  /** Chooses among {@code candidates}, all of one service; empty if there are none. */
  public Optional<Placement> choose(List<EngineState> candidates, Prompt prompt, long nowMs) {
    return choose(candidates, ServicePace.of(candidates, nowMs), prompt, nowMs);
  }

  /** Chooses among {@code candidates}, weighted by the {@code pace} of their service. */
  public Optional<Placement> choose(
      List<EngineState> candidates, ServicePace pace, Prompt prompt, long nowMs) {
    List<EngineState> considered = considered(candidates, nowMs);
    Optional<EngineState> owner = prefixOwner(considered, prompt);
    Placement best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : considered) {
      boolean isCached = owner.filter(engine::equals).isPresent();
      long prefillTokens = prompt.tokens() - (isCached ? prompt.sharedPrefixTokens() : 0);
      double cost =
          workCost(engine, prefillTokens, pace, nowMs)
              + engine.recentWaitMs(nowMs) / WAIT_MS_PER_FULL_LOAD
              + distancePenalty(engine)
              + random.nextDouble() * JITTER;
      if (cost < bestCost) {
        best = new Placement(engine, prefillTokens);
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private List<EngineState> considered(List<EngineState> candidates, long nowMs) {
    if (preference == RegionPreference.BALANCED) {
      return candidates;
    }
    List<EngineState> ownRegion = inOwnRegion(candidates);
    boolean isAnyFree = ownRegion.stream().anyMatch(engine -> startsSoon(engine, nowMs));
    return isAnyFree ? ownRegion : candidates;
  }

  private List<EngineState> inOwnRegion(List<EngineState> candidates) {
    return candidates.stream()
        .filter(engine -> distance(engine) != ZoneDistance.OTHER_REGION)
        .toList();
  }

  private static boolean startsSoon(EngineState engine, long nowMs) {
    boolean hasFreeSlot = engine.estimatedLoad(nowMs) + 1 <= slots(engine);
    return hasFreeSlot && engine.recentWaitMs(nowMs) <= MAX_NEARBY_WAIT_MS;
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

  private double distancePenalty(EngineState engine) {
    return switch (distance(engine)) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> OTHER_ZONE_PENALTY;
      case OTHER_REGION -> OTHER_REGION_PENALTY;
    };
  }

  private ZoneDistance distance(EngineState engine) {
    return topology.distance(zone, engine.instance().zone());
  }

  /** Estimated load as a share of the engine's slots. */
  public static double load(EngineState engine, long nowMs) {
    return engine.estimatedLoad(nowMs) / slots(engine);
  }

  private static int slots(EngineState engine) {
    int reported = engine.instance().slots();
    return reported > 0 ? reported : DEFAULT_SLOTS;
  }

  /** Returns the owner among the engines of the own region, or of all if the region has none. */
  private Optional<EngineState> prefixOwner(List<EngineState> candidates, Prompt prompt) {
    if (prompt.sharedPrefixTokens() < MIN_AFFINITY_TOKENS) {
      return Optional.empty();
    }
    List<EngineState> ownRegion = inOwnRegion(candidates);
    EngineState best = null;
    long bestHash = Long.MIN_VALUE;
    for (EngineState engine : ownRegion.isEmpty() ? candidates : ownRegion) {
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
