package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.ServicePace;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Selects the engines on which an item should start when engines differ in speed; has no state.
 *
 * <p>Online requests avoid slow engines, so late and deferrable items prefer them. Urgent items
 * prefer the other engines. An item does not start on an engine where it would be late, unless it
 * is late already.
 */
final class ItemPlacement {
  /**
   * Minimum slack of a deferrable item on an engine; covers a few stops for online requests, each
   * with a retry delay and a move to another engine.
   */
  private static final long INTERRUPTION_MARGIN_MS = 2_000;

  private ItemPlacement() {}

  /**
   * Returns the suitable engines among {@code available}, which have a free slot; {@code slackAt}
   * returns the slack of the item on an engine.
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
      case LATE -> preferMatching(isSlow, available);
      case URGENT -> preferMatching(isSlow.negate(), filterBySlack(available, slackAt, 0));
      case DEFERRABLE ->
          preferMatching(isSlow, filterBySlack(available, slackAt, INTERRUPTION_MARGIN_MS));
    };
  }

  private static List<EngineState> filterBySlack(
      List<EngineState> available, ToLongFunction<EngineState> slackAt, long minSlackMs) {
    return available.stream().filter(engine -> slackAt.applyAsLong(engine) >= minSlackMs).toList();
  }

  private static List<EngineState> preferMatching(
      Predicate<EngineState> predicate, List<EngineState> engines) {
    List<EngineState> matching = engines.stream().filter(predicate).toList();
    return matching.isEmpty() ? engines : matching;
  }
}
