package io.pathdeck.protocol.fleet;

/**
 * The data of successive events: each value of a data field with a line feed behind it. Unlike
 * values with line feeds between them, it tells an empty value from none, so that parts of a stream
 * are joined by concatenation.
 */
public final class EventData {
  /** The data of no events. */
  public static final String NONE = "";

  private static final String LINE_END = "\n";

  private EventData() {}

  /** Returns the values with line feeds between them. */
  public static String toText(String data) {
    return data.endsWith(LINE_END) ? data.substring(0, data.length() - 1) : data;
  }

  /**
   * Returns the data of a text in which line feeds stand between values. An empty text is the data
   * of no events, though it may have been that of one event with an empty value.
   */
  public static String ofText(String text) {
    return text.isEmpty() ? NONE : text + LINE_END;
  }
}
