package io.pathdeck.fleet.store;

/**
 * Estimates the run time of an item from its output tokens and the run times of completed items.
 * Performs no I/O; times are in milliseconds on an engine of median pace.
 */
final class RunTimeEstimate {
  private static final double INITIAL_MS_PER_TOKEN = 4.0;
  private static final double COMPLETED_ITEM_WEIGHT = 0.05;
  private static final long UNKNOWN_OUTPUT_RUN_MS = 5_000;

  /** An event carries at least one token. */
  private static final double INITIAL_MS_PER_EVENT = INITIAL_MS_PER_TOKEN;

  /**
   * Weight of a new sample in the mean time per event. Each sample covers several events, so a few
   * samples suffice.
   */
  private static final double EVENT_SAMPLE_WEIGHT = 0.2;

  private double msPerToken = INITIAL_MS_PER_TOKEN;
  private double msPerEvent = INITIAL_MS_PER_EVENT;

  /** Records the total run time of a completed item. */
  void onItemCompleted(long outputTokens, long runMs) {
    if (outputTokens > 0 && runMs > 0) {
      msPerToken += (runMs / (double) outputTokens - msPerToken) * COMPLETED_ITEM_WEIGHT;
    }
  }

  /** Records the time that a running item took for some events. */
  void onEvents(long events, long spanMs) {
    if (events > 0 && spanMs > 0) {
      msPerEvent += (spanMs / (double) events - msPerEvent) * EVENT_SAMPLE_WEIGHT;
    }
  }

  /** Returns the run time of the given number of events. */
  long eventsRunMs(long events) {
    return Math.round(events * msPerEvent);
  }

  /**
   * Returns the remaining run time of an item that has run for {@code runMs}; {@code outputTokens}
   * is 0 if unknown.
   */
  long remainingMs(long outputTokens, long runMs) {
    long totalMs = outputTokens > 0 ? Math.round(outputTokens * msPerToken) : UNKNOWN_OUTPUT_RUN_MS;
    return Math.max(0, totalMs - runMs);
  }
}
