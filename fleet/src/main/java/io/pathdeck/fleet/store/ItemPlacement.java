package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.ServicePace;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Selects the engines on which an item should start when engines differ in speed; pure.
 *
 * <p>Online requests avoid slow engines, so an item that can wait takes nothing from them there. An
 * item with little slack goes to engines that are not slow. No item starts where it would be late:
 * it waits for another engine, unless it will be late anyway.
 */
final class ItemPlacement {
  /**
   * Slack that an item needs on an engine where it may be interrupted: a few stops for online
   * requests, each with a retry delay and the move to the next engine.
   */
  private static final long INTERRUPTION_MARGIN_MS = 2_000;

  private ItemPlacement() {}

  /**
   * Returns the engines on which an item should start.
   *
   * @param available the engines with a free slot
   * @param slackAt how long the item can wait and still be on time on an engine
   */
  static List<EngineState> candidates(
      List<EngineState> available,
      ServicePace pace,
      ItemUrgency urgency,
      ToLongFunction<EngineState> slackAt) {
    if (!pace.isUneven()) {
      return available;
    }
    Predicate<EngineState> isSlow = pace::isSlow;
    return switch (urgency) {
      case LATE -> preferring(isSlow, available);
      case URGENT -> preferring(isSlow.negate(), withSlack(available, slackAt, 0));
      case DEFERRABLE -> preferring(isSlow, withSlack(available, slackAt, INTERRUPTION_MARGIN_MS));
    };
  }

  private static List<EngineState> withSlack(
      List<EngineState> available, ToLongFunction<EngineState> slackAt, long minSlackMs) {
    return available.stream().filter(engine -> slackAt.applyAsLong(engine) >= minSlackMs).toList();
  }

  private static List<EngineState> preferring(
      Predicate<EngineState> wanted, List<EngineState> engines) {
    List<EngineState> preferred = engines.stream().filter(wanted).toList();
    return preferred.isEmpty() ? engines : preferred;
  }
}
