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
 */
public final class EngineChoice {
  /** From this many shared tokens on a prompt has a home. */
  private static final long HOME_TOKENS = 1_500;

  /** How much load, as a share of an engine's slots, a way to another zone is worth. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** How many unread prompt tokens are worth an engine's whole load. */
  private static final double TOKENS_PER_LOAD = 12_000;

  /** How long calls of late waited for their first bytes when that is worth a whole load. */
  private static final double WAIT_MS_PER_LOAD = 600;

  private static final double JITTER = 0.02;
  private static final int DEFAULT_SLOTS = 8;

  private final String zone;
  private final SplittableRandom random;

  /** Chooses for a process in {@code zone}. */
  public EngineChoice(String zone, long seed) {
    this.zone = zone;
    this.random = new SplittableRandom(seed);
  }

  /** Chooses among {@code candidates}; empty when there is none. */
  public Optional<Placement> choose(List<EngineState> candidates, Prompt prompt, long nowMs) {
    Optional<EngineState> home = home(candidates, prompt);
    Placement best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : candidates) {
      boolean cached = home.filter(engine::equals).isPresent();
      long tokensToRead = prompt.tokens() - (cached ? prompt.sharedPrefixTokens() : 0);
      double cost =
          load(engine, nowMs)
              + (engine.unreadPromptTokens() + tokensToRead) / TOKENS_PER_LOAD
              + engine.recentWaitMs(nowMs) / WAIT_MS_PER_LOAD
              + zonePenalty(engine)
              + random.nextDouble() * JITTER;
      if (cost < bestCost) {
        best = new Placement(engine, tokensToRead);
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

  private static Optional<EngineState> home(List<EngineState> candidates, Prompt prompt) {
    if (prompt.sharedPrefixTokens() < HOME_TOKENS) {
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
