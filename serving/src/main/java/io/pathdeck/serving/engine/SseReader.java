package io.pathdeck.serving.engine;

import io.pathdeck.common.http.SseBlockValidator;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into complete events and checks their sequence.
 *
 * <p>Each token event has an {@code id} line with the token's offset, starting at 1. Offsets must
 * be consecutive. The {@code id} lines are removed from the output. Other events are held until the
 * next token or the end marker: an attempt that resumes after the last token repeats them.
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
  private final ByteArrayOutputStream heldEvents = new ByteArrayOutputStream();

  SseReader(int resumeAfter) {
    this.lastTokenOffset = resumeAfter;
  }

  /** Parses bytes of the stream; the accessors then return the events that these completed. */
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
    } else if (!isEvent(start, end)) {
      problem = "bytes that are no event";
    } else if (buffer[start] == ':') {
      processComment(start, end);
    } else if (startsWith(ID_PREFIX, start, end)) {
      processToken(start, end);
    } else {
      endMarkerRead = startsWith(DONE_LINE, start, end);
      hold(start, end);
    }
  }

  private void hold(int start, int end) {
    heldEvents.write(buffer, start, end - start);
    if (endMarkerRead) {
      releaseHeldEvents();
    } else if (heldEvents.size() > MAX_EVENT_LENGTH) {
      problem = "no token in " + MAX_EVENT_LENGTH + " bytes of events";
    }
  }

  private void releaseHeldEvents() {
    events.writeBytes(heldEvents.toByteArray());
    heldEvents.reset();
  }

  private boolean isEvent(int start, int end) {
    SseBlockValidator validator = new SseBlockValidator();
    int lineStart = start;
    for (int i = start; i < end; i++) {
      if (buffer[i] == '\n') {
        if (i > lineStart) {
          validator.addLine(buffer, lineStart, i);
        }
        lineStart = i + 1;
      }
    }
    return !validator.isInvalid();
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
    releaseHeldEvents();
    events.write(buffer, position + 1, end - position - 1);
  }

  private boolean startsWith(byte[] prefix, int start, int end) {
    return end - start >= prefix.length
        && Arrays.equals(buffer, start, start + prefix.length, prefix, 0, prefix.length);
  }

  /** Returns the events completed by the last read, without {@code id} lines and comments. */
  byte[] events() {
    return events.toByteArray();
  }

  /** Returns the number of tokens completed by the last read. */
  int tokens() {
    return tokens;
  }

  /** Returns the load reported in the last read, or null. */
  EngineLoad load() {
    return load;
  }

  /** Returns whether the end marker was read. */
  boolean hasEndMarker() {
    return endMarkerRead;
  }

  /** Returns the protocol violation that makes the stream unusable, or null. */
  String problem() {
    return problem;
  }
}
