package io.pathdeck.state;

import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.StreamOrigin;

/** The recorded beginning of an open item's response stream, which consists of events. */
public final class ItemProgress {
  /** No recorded events. */
  public static final ItemProgress NONE =
      new ItemProgress(StreamOrigin.UNKNOWN, BatchProgress.NO_EVENT, EventData.NONE, false, false);

  private final StreamOrigin origin;
  private final long lastEvent;
  private final String data;
  private final boolean mayLackData;
  private final boolean isWide;

  private ItemProgress(
      StreamOrigin origin, long lastEvent, String data, boolean mayLackData, boolean isWide) {
    this.origin = origin;
    this.lastEvent = lastEvent;
    this.data = data;
    this.mayLackData = mayLackData;
    this.isWide = isWide;
  }

  /** The engines that can write what follows the recorded events. */
  public StreamOrigin origin() {
    return origin;
  }

  /** The number of the last recorded event; -1 when there is none. */
  public long lastEvent() {
    return lastEvent;
  }

  /** Whether no events are recorded. */
  public boolean isEmpty() {
    return lastEvent == BatchProgress.NO_EVENT;
  }

  /** The {@link EventData} of the recorded events. */
  public String data() {
    return data;
  }

  /** Whether empty values may be missing in the data, so that the item has to begin anew. */
  public boolean mayLackData() {
    return mayLackData;
  }

  /** An estimate of the heap that the data takes, in bytes. */
  long heapBytes() {
    return HeapSizes.ofText(data.length(), isWide);
  }

  /** Whether the events directly follow the recorded ones and come from the same origin. */
  boolean isFollowedBy(BatchProgress events) {
    boolean hasSameOrigin = isEmpty() || origin.equals(events.origin());
    return hasSameOrigin && events.afterEvent() == lastEvent;
  }

  /** The progress after further events. */
  ItemProgress plus(BatchProgress events) {
    return new ItemProgress(
        events.origin(),
        events.lastEvent(),
        data + events.data(),
        mayLackData || events.mayLackData(),
        isWide || HeapSizes.isWide(events.data()));
  }
}
