package io.pathdeck.fleet.engine;

/**
 * Measures the time that an engine takes for the events of one stream. The time before the first
 * event is not counted, because it includes queueing and prefill. Confined to one thread.
 */
public final class StreamTiming {
  private long firstEventId = -1;
  private long firstEventAtMs;
  private long lastEventId = -1;
  private long lastEventAtMs;

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
