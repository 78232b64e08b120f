package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.ServicePace;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * On which engines an item starts where some take longer than others; pure.
 *
 * <p>Online requests avoid slow engines, so an item that can wait takes nothing from them there. An
 * item with little time goes to engines that are not slow. None starts where it could not be done
 * when it is due: it waits for another engine, until it is overdue anyway.
 */
final class ItemPlacement {
  /**
   * What an item needs to spare on an engine when it may be stopped there: a few stops for online
   * requests, each a pause and the way to the next engine.
   */
  private static final long INTERRUPTION_MARGIN_MS = 2_000;

  private ItemPlacement() {}

  /**
   * Those of the engines with room on which an item should start.
   *
   * @param slackAt for how long the item can wait and still be done in time on an engine
   */
  static List<EngineState> candidates(
      List<EngineState> open,
      ServicePace pace,
      ItemUrgency urgency,
      ToLongFunction<EngineState> slackAt) {
    if (!pace.isUneven()) {
      return open;
    }
    Predicate<EngineState> isSlow = pace::isSlow;
    return switch (urgency) {
      case LATE -> preferring(isSlow, open);
      case URGENT -> preferring(isSlow.negate(), withSlack(open, slackAt, 0));
      case DEFERRABLE -> preferring(isSlow, withSlack(open, slackAt, INTERRUPTION_MARGIN_MS));
    };
  }

  private static List<EngineState> withSlack(
      List<EngineState> open, ToLongFunction<EngineState> slackAt, long leastMs) {
    return open.stream().filter(engine -> slackAt.applyAsLong(engine) >= leastMs).toList();
  }

  private static List<EngineState> preferring(
      Predicate<EngineState> wanted, List<EngineState> engines) {
    List<EngineState> preferred = engines.stream().filter(wanted).toList();
    return preferred.isEmpty() ? engines : preferred;
  }
}
