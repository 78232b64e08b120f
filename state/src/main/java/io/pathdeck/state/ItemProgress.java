package io.pathdeck.state;

import io.pathdeck.protocol.fleet.BatchProgress;

/** The recorded beginning of an open item's response stream, which consists of events. */
public final class ItemProgress {
  /** No recorded events. */
  public static final ItemProgress NONE = new ItemProgress(BatchProgress.NO_EVENT, "");

  private final long lastEvent;
  private final String text;

  private ItemProgress(long lastEvent, String text) {
    this.lastEvent = lastEvent;
    this.text = text;
  }

  /** The number of the last recorded event; -1 when there is none. */
  public long lastEvent() {
    return lastEvent;
  }

  /** The data of the recorded events, one line each. */
  public String text() {
    return text;
  }

  /** The progress after further events. */
  ItemProgress plus(long newLastEvent, String moreText) {
    return new ItemProgress(newLastEvent, join(text, moreText));
  }

  /** Joins the data of two successive runs of events. */
  public static String join(String text, String moreText) {
    if (text.isEmpty() || moreText.isEmpty()) {
      return text + moreText;
    }
    return text + '\n' + moreText;
  }
}
