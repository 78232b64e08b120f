package io.pathdeck.fleet.engine;

/**
 * Times of the events of one stream, as a measure of the engine's pace. The time to the first event
 * is left out, because it includes queueing and prefill. Confined to one thread.
 */
public final class StreamTiming {
  private long firstEvent = -1;
  private long firstMs;
  private long lastEvent = -1;
  private long lastMs;

  /** Records that the stream has reached {@code event}. */
  public void onEvent(long event, long nowMs) {
    if (firstEvent < 0) {
      firstEvent = event;
      firstMs = nowMs;
    }
    lastEvent = event;
    lastMs = nowMs;
  }

  /** Number of events after the first recorded one. */
  public long eventsAfterFirst() {
    return lastEvent - firstEvent;
  }

  /** Time from the first recorded event to the last one. */
  public long spanMs() {
    return lastMs - firstMs;
  }
}
