package io.pathdeck.fleet.engine;

/**
 * Times of the events of one stream, as a measure of the engine's pace. The time to the first event
 * is left out, because it includes queueing and prefill. Confined to one thread.
 */
public final class StreamTiming {
  private long firstEventId = -1;
  private long firstEventAtMs;
  private long lastEventId = -1;
  private long lastEventAtMs;

  /** Records that the stream has reached {@code event}. */
  public void onEvent(long eventId, long nowMs) {
    if (firstEventId < 0) {
      firstEventId = eventId;
      firstEventAtMs = nowMs;
    }
    lastEventId = eventId;
    lastEventAtMs = nowMs;
  }

  /** Number of events after the first recorded one. */
  public long eventsAfterFirst() {
    return lastEventId - firstEventId;
  }

  /** Time from the first recorded event to the last one. */
  public long spanMs() {
    return lastEventAtMs - firstEventAtMs;
  }
}
