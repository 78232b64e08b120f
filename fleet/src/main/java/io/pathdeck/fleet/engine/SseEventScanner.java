package io.pathdeck.fleet.engine;

import io.pathdeck.common.http.SseBlockValidator;
import io.pathdeck.protocol.fleet.EventData;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into complete events and checks them.
 *
 * <p>Ids must be consecutive, and what blank lines end must be events. Complete events are returned
 * byte for byte; a partial event is buffered until the rest arrives.
 */
public final class SseEventScanner {
  /** Bounds an event, and what is between two events with an id or data. */
  private static final int MAX_EVENT_LENGTH = 1 << 20;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.UTF_8);

  private static final int INITIAL_CAPACITY = 512;

  /** A larger buffer is replaced when little of it is in use. */
  private static final int MAX_IDLE_CAPACITY = 4 * 1024;

  private static final int MAX_UNUSED_RATIO = 4;

  private byte[] buffer = new byte[INITIAL_CAPACITY];
  private int bufferedBytes;

  /** How many of the buffered bytes were searched for the end of their event. */
  private int scannedBytes;

  /** Where the first line without an end begins in the buffer. */
  private int openLineStart;

  private long lastId;
  private boolean hasLastId;
  private boolean advanced;
  private int bytesSinceEvent;
  private String problem;

  /**
   * Creates a scanner.
   *
   * @param resumeAfterId id of the event before the first one; -1 to accept any first id
   */
  public SseEventScanner(long resumeAfterId) {
    this.lastId = resumeAfterId;
    this.hasLastId = resumeAfterId >= 0;
  }

  /** Adds bytes and returns the events that they complete, up to the first invalid one. */
  public byte[] feed(byte[] bytes) {
    append(bytes);
    advanced = false;
    int start = 0;
    int lineStart = openLineStart;
    for (int i = scannedBytes; i < bufferedBytes && problem == null; i++) {
      if (buffer[i] != '\n') {
        continue;
      }
      boolean blank = i == lineStart || (i == lineStart + 1 && buffer[lineStart] == '\r');
      if (blank) {
        long idBefore = lastId;
        boolean hadIdBefore = hasLastId;
        checkEvent(start, i + 1);
        if (problem == null) {
          start = i + 1;
        } else {
          lastId = idBefore;
          hasLastId = hadIdBefore;
        }
      }
      lineStart = i + 1;
    }
    byte[] complete = Arrays.copyOf(buffer, start);
    openLineStart = lineStart - start;
    removeFirst(start);
    scannedBytes = bufferedBytes;
    if (bufferedBytes + bytesSinceEvent > MAX_EVENT_LENGTH) {
      problem = "no event in " + MAX_EVENT_LENGTH + " bytes";
    }
    return complete;
  }

  private void removeFirst(int length) {
    if (length == 0) {
      return;
    }
    int remaining = bufferedBytes - length;
    boolean shrinks =
        buffer.length > MAX_IDLE_CAPACITY && remaining < buffer.length / MAX_UNUSED_RATIO;
    byte[] target = shrinks ? new byte[Math.max(INITIAL_CAPACITY, 2 * remaining)] : buffer;
    System.arraycopy(buffer, length, target, 0, remaining);
    buffer = target;
    bufferedBytes = remaining;
  }

  private void append(byte[] bytes) {
    if (bufferedBytes + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, bufferedBytes + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, bufferedBytes, bytes.length);
    bufferedBytes += bytes.length;
  }

  private void checkEvent(int from, int to) {
    int lineStart = from;
    boolean isEvent = false;
    SseBlockValidator validator = new SseBlockValidator();
    for (int i = from; i < to; i++) {
      if (buffer[i] == '\n') {
        int lineEnd = lineEnd(buffer, lineStart, i);
        boolean isId = startsWith(ID_FIELD, lineStart, i);
        if (isId) {
          checkId(textOf(lineStart + ID_FIELD.length, i));
        }
        isEvent |= isId || dataStart(buffer, lineStart, lineEnd) >= 0;
        if (lineEnd > lineStart) {
          validator.addLine(buffer, lineStart, lineEnd);
        }
        lineStart = i + 1;
      }
    }
    if (validator.isInvalid()) {
      problem = "bytes that are no event";
    }
    if (problem == null) {
      advanced |= isEvent;
      bytesSinceEvent = isEvent ? 0 : bytesSinceEvent + to - from;
    }
  }

  private void checkId(String text) {
    long id;
    try {
      id = Long.parseLong(text);
    } catch (NumberFormatException e) {
      problem = "an event id that is no number";
      return;
    }
    if (hasLastId && id != lastId + 1) {
      problem = "event " + id + " after event " + lastId;
      return;
    }
    hasLastId = true;
    lastId = id;
  }

  private boolean startsWith(byte[] prefix, int from, int to) {
    return to - from >= prefix.length
        && Arrays.equals(buffer, from, from + prefix.length, prefix, 0, prefix.length);
  }

  private String textOf(int from, int to) {
    return new String(buffer, from, to - from, StandardCharsets.UTF_8).trim();
  }

  /** Whether the bytes added last completed an event with an id or data; comments are none. */
  public boolean hasAdvanced() {
    return advanced;
  }

  /** Id of the last complete event; before the first one, the id to resume after, or -1 if none. */
  public long lastId() {
    return hasLastId ? lastId : -1;
  }

  /** Why the stream is invalid; null while it is valid. */
  public String problem() {
    return problem;
  }

  /** The memory that partial events take, in bytes. */
  public int capacity() {
    return buffer.length;
  }

  /** Whether a partial event is buffered. */
  public boolean hasPartialEvent() {
    return bufferedBytes > 0;
  }

  /**
   * Returns the {@link EventData} of complete events. An event without a data field, such as a
   * comment or an id alone, has none.
   */
  public static String dataOf(byte[] events) {
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    int lineStart = 0;
    for (int i = 0; i < events.length; i++) {
      if (events[i] != '\n') {
        continue;
      }
      int end = lineEnd(events, lineStart, i);
      int from = dataStart(events, lineStart, end);
      if (from >= 0) {
        data.write(events, from, end - from);
        data.write('\n');
      }
      lineStart = i + 1;
    }
    return data.toString(StandardCharsets.UTF_8);
  }

  /** Returns where the line that {@code lineFeed} ends has its last character, exclusive. */
  private static int lineEnd(byte[] bytes, int from, int lineFeed) {
    return lineFeed > from && bytes[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
  }

  /** Returns where the value of a data field begins; -1 if the line is none. */
  private static int dataStart(byte[] bytes, int from, int end) {
    int nameEnd = from + DATA_FIELD.length;
    boolean hasName =
        nameEnd <= end && Arrays.equals(bytes, from, nameEnd, DATA_FIELD, 0, DATA_FIELD.length);
    if (!hasName) {
      return -1;
    }
    if (nameEnd == end) {
      return end;
    }
    if (bytes[nameEnd] != ':') {
      return -1;
    }
    int valueStart = nameEnd + 1;
    return valueStart < end && bytes[valueStart] == ' ' ? valueStart + 1 : valueStart;
  }
}
