package io.pathdeck.fleet.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses an engine for a request.
 *
 * <p>A long prompt keeps the requests that arrive behind it from their first token. So long prompts
 * of a zone meet on one of its engines, the same for all processes of the zone, and short ones keep
 * away from it while others have room. Among the rest the least loaded engine is taken, those of
 * the own zone first.
 */
public final class EngineChoice {
  /** From this many prompt tokens on a prompt is long. */
  private static final long LONG_PROMPT_TOKENS = 2_500;

  /** How much load, as a share of an engine's slots, a way to another zone is worth. */
  private static final double OTHER_ZONE_PENALTY = 0.3;

  /** How much load the engine for long prompts is worth to a short one. */
  private static final double LONG_PROMPT_ENGINE_PENALTY = 0.25;

  /** How many unread prompt tokens are worth an engine's whole load. */
  private static final double TOKENS_PER_LOAD = 12_000;

  /** How long calls of late waited for their first bytes when that is worth a whole load. */
  private static final double WAIT_MS_PER_LOAD = 600;

  /** Up to this cost the engine for long prompts takes another one. */
  private static final double LONG_PROMPT_COST_LIMIT = 1.2;

  private static final double JITTER = 0.02;
  private static final int DEFAULT_SLOTS = 8;
  private static final String LONG_PROMPTS = "long-prompts";

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
   * @param promptTokens the tokens of the prompt; 0 when not known
   */
  public Optional<EngineState> choose(List<EngineState> candidates, long promptTokens, long nowMs) {
    boolean longPrompt = promptTokens >= LONG_PROMPT_TOKENS;
    Optional<EngineState> forLongPrompts = engineForLongPrompts(candidates);
    if (longPrompt
        && forLongPrompts.isPresent()
        && cost(forLongPrompts.get(), nowMs) < LONG_PROMPT_COST_LIMIT) {
      return forLongPrompts;
    }
    EngineState best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : candidates) {
      boolean avoided = !longPrompt && forLongPrompts.filter(engine::equals).isPresent();
      double cost =
          cost(engine, nowMs)
              + zonePenalty(engine)
              + (avoided ? LONG_PROMPT_ENGINE_PENALTY : 0)
              + random.nextDouble() * JITTER;
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double cost(EngineState engine, long nowMs) {
    return load(engine, nowMs)
        + engine.unreadPromptTokens() / TOKENS_PER_LOAD
        + engine.recentWaitMs(nowMs) / WAIT_MS_PER_LOAD;
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
  private Optional<EngineState> engineForLongPrompts(List<EngineState> candidates) {
    List<EngineState> near =
        candidates.stream().filter(engine -> engine.instance().zone().equals(zone)).toList();
    EngineState best = null;
    long bestHash = Long.MIN_VALUE;
    for (EngineState engine : near.isEmpty() ? candidates : near) {
      String text = LONG_PROMPTS + '|' + engine.instance().id();
      long hash = LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
      if (best == null || hash > bestHash) {
        best = engine;
        bestHash = hash;
      }
    }
    return Optional.ofNullable(best);
  }
}
