package io.pathdeck.common.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Tells events from other lines that blank lines end, such as the head of another response.
 *
 * <p>An event has at least one field, or is a comment. Other lines may stand beside its fields, but
 * not a status line, and not below the text of one: an engine may stop within a line of an event
 * and go on with another response on the same connection.
 */
public final class SseBlockValidator {
  private static final List<byte[]> FIELD_NAMES =
      List.of(ascii("data"), ascii("id"), ascii("event"), ascii("retry"));
  private static final byte[] PROTOCOL = ascii("HTTP/");

  /** The length of a status line up to the end of the status, as in {@code HTTP/1.1 200}. */
  private static final int STATUS_END = 12;

  private boolean empty = true;
  private boolean hasField;
  private boolean hasStatusLine;
  private boolean hasHead;

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Adds a line, which is not blank, without its end. */
  public void addLine(byte[] bytes, int from, int to) {
    empty = false;
    hasStatusLine |= containsStatusLine(bytes, from, to);
    if (isField(bytes, from, to)) {
      hasField = true;
    } else {
      hasHead |= hasStatusLine;
    }
  }

  /** Whether the lines are no event. */
  public boolean isInvalid() {
    return hasHead || !(hasField || empty);
  }

  private static boolean isField(byte[] bytes, int from, int to) {
    for (byte[] name : FIELD_NAMES) {
      if (hasName(name, bytes, from, to)) {
        return true;
      }
    }
    return bytes[from] == ':';
  }

  private static boolean hasName(byte[] name, byte[] bytes, int from, int to) {
    int end = from + name.length;
    return startsWith(name, bytes, from, to) && (end == to || bytes[end] == ':');
  }

  private static boolean startsWith(byte[] prefix, byte[] bytes, int from, int to) {
    int end = from + prefix.length;
    return end <= to && Arrays.equals(bytes, from, end, prefix, 0, prefix.length);
  }

  private static boolean containsStatusLine(byte[] bytes, int from, int to) {
    for (int i = from; i <= to - STATUS_END; i++) {
      if (bytes[i] == 'H' && isStatusLine(bytes, i, to)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isStatusLine(byte[] bytes, int from, int to) {
    return startsWith(PROTOCOL, bytes, from, to)
        && ResponseHeadValidator.hasStatusLine(
            new String(bytes, from, STATUS_END, StandardCharsets.US_ASCII));
  }
}
