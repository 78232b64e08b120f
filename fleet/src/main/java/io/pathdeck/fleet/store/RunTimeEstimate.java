package io.pathdeck.fleet.store;

/**
 * How long items run: learnt from those that became whole, by the tokens of their output. Pure;
 * times in milliseconds.
 */
final class RunTimeEstimate {
  private static final double INITIAL_MS_PER_TOKEN = 4.0;
  private static final double ITEM_WEIGHT = 0.05;
  private static final long DEFAULT_MS = 5_000;

  /** An event carries one token at least. */
  private static final double INITIAL_MS_PER_EVENT = INITIAL_MS_PER_TOKEN;

  /** Some events a look, so that a few looks at a few items tell. */
  private static final double EVENTS_WEIGHT = 0.2;

  private double msPerToken = INITIAL_MS_PER_TOKEN;
  private double msPerEvent = INITIAL_MS_PER_EVENT;

  /**
   * An item with this output became whole after it had run for {@code ranMs} in all, counted as on
   * a usual engine.
   */
  void onItemCompleted(long outputTokens, long ranMs) {
    if (outputTokens > 0 && ranMs > 0) {
      msPerToken += (ranMs / (double) outputTokens - msPerToken) * ITEM_WEIGHT;
    }
  }

  /** A running item brought {@code events} over {@code spanMs}, counted as on a usual engine. */
  void onEvents(long events, long spanMs) {
    if (events > 0 && spanMs > 0) {
      msPerEvent += (spanMs / (double) events - msPerEvent) * EVENTS_WEIGHT;
    }
  }

  /** How long an item ran on a usual engine for these events. */
  long eventsMs(long events) {
    return Math.round(events * msPerEvent);
  }

  /** How much longer an item with this output runs on a usual engine after {@code ranMs}. */
  long remainingMs(long outputTokens, long ranMs) {
    long wholeMs = outputTokens > 0 ? Math.round(outputTokens * msPerToken) : DEFAULT_MS;
    return Math.max(0, wholeMs - ranMs);
  }
}
