package io.pathdeck.serving.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a server-sent event stream into whole events and checks their sequence.
 *
 * <p>A token's event has an {@code id} line with the token's offset from 1; the reader demands that
 * offsets follow each other without gap or repeat. {@code id} lines are not passed on.
 */
final class SseReader {
  private static final int MAX_EVENT_LENGTH = 1 << 20;
  private static final byte[] DONE_LINE = "data: [DONE]".getBytes(StandardCharsets.UTF_8);
  private static final byte[] LOAD_PREFIX = ": load ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] ID_PREFIX = "id: ".getBytes(StandardCharsets.UTF_8);

  private byte[] buffer = new byte[1024];
  private int length;
  private int scannedLength;
  private int lastTokenOffset;
  private int tokens;
  private boolean endMarkerRead;
  private String problem;
  private EngineLoad load;
  private final ByteArrayOutputStream events = new ByteArrayOutputStream();

  SseReader(int resumeAfter) {
    this.lastTokenOffset = resumeAfter;
  }

  /** Takes bytes of the stream; what they complete is then found in the accessors. */
  void read(byte[] bytes) {
    events.reset();
    tokens = 0;
    load = null;
    append(bytes);
    int start = 0;
    for (int i = Math.max(scannedLength, 1); i < length && problem == null; i++) {
      if (buffer[i] == '\n' && buffer[i - 1] == '\n') {
        processEvent(start, i + 1);
        start = i + 1;
      }
    }
    System.arraycopy(buffer, start, buffer, 0, length - start);
    length -= start;
    scannedLength = length;
    if (length > MAX_EVENT_LENGTH) {
      problem = "an event is too long";
    }
  }

  private void append(byte[] bytes) {
    if (length + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
  }

  private void processEvent(int start, int end) {
    if (endMarkerRead) {
      problem = "data after the end marker";
    } else if (buffer[start] == ':') {
      processComment(start, end);
    } else if (startsWith(ID_PREFIX, start, end)) {
      processToken(start, end);
    } else {
      endMarkerRead = startsWith(DONE_LINE, start, end);
      events.write(buffer, start, end - start);
    }
  }

  private void processComment(int start, int end) {
    if (startsWith(LOAD_PREFIX, start, end)) {
      int from = start + LOAD_PREFIX.length;
      String text = new String(buffer, from, end - from, StandardCharsets.UTF_8).trim();
      load = EngineLoad.parse(text).orElse(load);
    }
  }

  private void processToken(int start, int end) {
    int position = start + ID_PREFIX.length;
    int offset = 0;
    while (position < end && buffer[position] >= '0' && buffer[position] <= '9') {
      offset = offset * 10 + (buffer[position] - '0');
      position++;
    }
    if (buffer[position] != '\n' || offset != lastTokenOffset + 1) {
      problem = "token " + offset + " after token " + lastTokenOffset;
      return;
    }
    lastTokenOffset = offset;
    tokens++;
    events.write(buffer, position + 1, end - position - 1);
  }

  private boolean startsWith(byte[] prefix, int start, int end) {
    return end - start >= prefix.length
        && Arrays.equals(buffer, start, start + prefix.length, prefix, 0, prefix.length);
  }

  /** The events completed by the last bytes, without {@code id} lines and comments. */
  byte[] events() {
    return events.toByteArray();
  }

  /** How many tokens the last bytes completed. */
  int tokens() {
    return tokens;
  }

  /** The load that the last bytes reported, or null. */
  EngineLoad load() {
    return load;
  }

  /** Whether the end marker was seen. */
  boolean hasEndMarker() {
    return endMarkerRead;
  }

  /** Why the stream cannot be trusted any more, or null. */
  String problem() {
    return problem;
  }
}
