package io.pathdeck.fleet.store;

/**
 * Estimates the run time of items from completed ones, in proportion to their output tokens.
 * Performs no I/O; times are in milliseconds on an engine of median pace.
 */
final class RunTimeEstimate {
  private static final double INITIAL_MS_PER_TOKEN = 4.0;
  private static final double ITEM_WEIGHT = 0.05;
  private static final long DEFAULT_MS = 5_000;

  /** An event carries at least one token. */
  private static final double INITIAL_MS_PER_EVENT = INITIAL_MS_PER_TOKEN;

  /** Larger than {@link #ITEM_WEIGHT}: a sample covers several events, so a few samples suffice. */
  private static final double EVENTS_WEIGHT = 0.2;

  private double msPerToken = INITIAL_MS_PER_TOKEN;
  private double msPerEvent = INITIAL_MS_PER_EVENT;

  /**
   * Records an item that completed after {@code runMs} in all, normalized to an engine of median
   * pace.
   */
  void onItemCompleted(long outputTokens, long runMs) {
    if (outputTokens > 0 && runMs > 0) {
      msPerToken += (runMs / (double) outputTokens - msPerToken) * ITEM_WEIGHT;
    }
  }

  /** Records events of a running item, with their time normalized to an engine of median pace. */
  void onEvents(long events, long spanMs) {
    if (events > 0 && spanMs > 0) {
      msPerEvent += (spanMs / (double) events - msPerEvent) * EVENTS_WEIGHT;
    }
  }

  /** How long an engine of median pace takes for this many events. */
  long eventsMs(long events) {
    return Math.round(events * msPerEvent);
  }

  /**
   * How much longer an item with this output runs on an engine of median pace after {@code runMs}.
   */
  long remainingMs(long outputTokens, long runMs) {
    long totalMs = outputTokens > 0 ? Math.round(outputTokens * msPerToken) : DEFAULT_MS;
    return Math.max(0, totalMs - runMs);
  }
}
