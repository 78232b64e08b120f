package io.pathdeck.state;

import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.StreamOrigin;

/** The recorded beginning of an open item's response stream, which consists of events. */
public final class ItemProgress {
  /** No recorded events. */
  public static final ItemProgress NONE =
      new ItemProgress(StreamOrigin.UNKNOWN, BatchProgress.NO_EVENT, "");

  private final StreamOrigin origin;
  private final long lastEvent;
  private final String text;

  private ItemProgress(StreamOrigin origin, long lastEvent, String text) {
    this.origin = origin;
    this.lastEvent = lastEvent;
    this.text = text;
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

  /** The data of the recorded events, one line each. */
  public String text() {
    return text;
  }

  /** Whether the events directly follow the recorded ones and come from the same origin. */
  boolean isFollowedBy(BatchProgress events) {
    boolean hasSameOrigin = isEmpty() || origin.equals(events.origin());
    return hasSameOrigin && events.afterEvent() == lastEvent;
  }

  /** The progress after further events. */
  ItemProgress plus(BatchProgress events) {
    return new ItemProgress(events.origin(), events.lastEvent(), join(text, events.text()));
  }

  /** Joins the data of two successive runs of events. */
  public static String join(String text, String moreText) {
    if (text.isEmpty() || moreText.isEmpty()) {
      return text + moreText;
    }
    return text + '\n' + moreText;
  }
}
