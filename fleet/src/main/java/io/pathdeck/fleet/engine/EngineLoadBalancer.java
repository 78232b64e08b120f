package io.pathdeck.fleet.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses an engine for a request.
 *
 * <p>Each engine has a cost: its load, the prompt tokens that it has to read first, and the time
 * that calls of late waited there. A prompt with a long shared prefix has a home, the same engine
 * for all processes (rendezvous hashing), which probably keeps the prefix in its cache; everywhere
 * else the prefix has to be read again. So the home is taken until its load outweighs that. Among
 * equals an engine of the own zone is taken.
 *
 * <p>Where the engines of a service tell their pace, the load and the prompts count by the time
 * that they take at this engine: a slow one is taken when it is emptier, and before a fast one that
 * is full.
 */
public final class EngineLoadBalancer {
  /** From this many shared tokens on a prompt has a home. */
  private static final long MIN_AFFINITY_TOKENS = 1_500;

  /** How much load, as a share of an engine's slots, a way to another zone is worth. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** How many unread prompt tokens are worth an engine's whole load. */
  private static final double TOKENS_PER_FULL_LOAD = 12_000;

  /** How long calls of late waited for their first bytes when that is worth a whole load. */
  private static final double WAIT_MS_PER_FULL_LOAD = 600;

  private static final double JITTER = 0.02;
  private static final int DEFAULT_SLOTS = 8;

  private final String zone;
  private final SplittableRandom random;

  /** Chooses for a process in {@code zone}. */
  public EngineLoadBalancer(String zone, long seed) {
    this.zone = zone;
    this.random = new SplittableRandom(seed);
  }

  /** Chooses among {@code candidates}, all of one service; empty when there is none. */
  public Optional<Placement> choose(List<EngineState> candidates, Prompt prompt, long nowMs) {
    return choose(candidates, ServicePace.of(candidates, nowMs), prompt, nowMs);
  }

  /** Chooses among {@code candidates}, some engines of a service with this {@code pace}. */
  public Optional<Placement> choose(
      List<EngineState> candidates, ServicePace pace, Prompt prompt, long nowMs) {
    Optional<EngineState> home = prefixOwner(candidates, prompt);
    Placement best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : candidates) {
      boolean cached = home.filter(engine::equals).isPresent();
      long tokensToRead = prompt.tokens() - (cached ? prompt.sharedPrefixTokens() : 0);
      double cost =
          workCost(engine, tokensToRead, pace, nowMs)
              + engine.recentWaitMs(nowMs) / WAIT_MS_PER_FULL_LOAD
              + zonePenalty(engine)
              + random.nextDouble() * JITTER;
      if (cost < bestCost) {
        best = new Placement(engine, tokensToRead);
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * The load and the unread prompts. Where engines are uneven it is the time that this work and the
   * request itself take there: so the request counts with its own place, else a slow engine would
   * be as good as a fast one whenever both look empty, which is often, because most of their
   * requests come from other processes.
   */
  private static double workCost(
      EngineState engine, long tokensToRead, ServicePace pace, long nowMs) {
    double unread = (engine.pendingPrefillTokens() + tokensToRead) / TOKENS_PER_FULL_LOAD;
    double work = load(engine, nowMs) + unread;
    return pace.isUneven() ? (work + 1.0 / slots(engine)) * pace.currentRelativePace(engine) : work;
  }

  private double zonePenalty(EngineState engine) {
    return engine.instance().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
  }

  /** The load as a share of the engine's slots. */
  public static double load(EngineState engine, long nowMs) {
    return engine.estimatedLoad(nowMs) / slots(engine);
  }

  private static int slots(EngineState engine) {
    int told = engine.instance().slots();
    return told > 0 ? told : DEFAULT_SLOTS;
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
