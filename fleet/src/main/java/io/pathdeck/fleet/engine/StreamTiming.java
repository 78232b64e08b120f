package io.pathdeck.fleet.engine;

/**
 * When the events of one stream came, as far as its engine's pace shows in it: the time to the
 * first event is left out, because it is spent waiting and reading the prompt. Confined to one
 * thread.
 */
public final class StreamTiming {
  private long firstEvent = -1;
  private long firstMs;
  private long lastEvent = -1;
  private long lastMs;

  /** The stream has come to {@code event}. */
  public void onEvent(long event, long nowMs) {
    if (firstEvent < 0) {
      firstEvent = event;
      firstMs = nowMs;
    }
    lastEvent = event;
    lastMs = nowMs;
  }

  /** The events that came after the first ones. */
  public long eventsAfterFirst() {
    return lastEvent - firstEvent;
  }

  /** The time over which {@link #eventsAfterFirst} came. */
  public long spanMs() {
    return lastMs - firstMs;
  }
}
