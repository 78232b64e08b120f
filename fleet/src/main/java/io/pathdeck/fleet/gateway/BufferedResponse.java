package io.pathdeck.fleet.gateway;

import io.pathdeck.serving.http.ConnectionMemory;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * The part of a response body that waits to be sent, counted against the memory of callers: a whole
 * body, or what precedes the first event of a stream.
 */
final class BufferedResponse {
  /** Bounds one response that is collected before it is sent. */
  static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  /** What became of a part of the body. */
  enum Result {
    ADDED,
    /** The response is longer than any response may be. */
    TOO_LONG,
    /** The gateway has no memory left for it. */
    NO_MEMORY
  }

  private final ConnectionMemory memory;
  private ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  BufferedResponse(ConnectionMemory memory) {
    this.memory = memory;
  }

  /** Appends a part if it fits. */
  Result add(byte[] part) {
    if (bytes.size() + part.length > MAX_RESPONSE_BYTES) {
      return Result.TOO_LONG;
    }
    if (!memory.tryReserveResponse(part.length)) {
      return Result.NO_MEMORY;
    }
    bytes.writeBytes(part);
    return Result.ADDED;
  }

  int size() {
    return bytes.size();
  }

  /** Discards the body and releases its memory. */
  void discard() {
    memory.releaseResponse(bytes.size());
    bytes = new ByteArrayOutputStream();
  }

  /** Returns the body followed by {@code part}, and discards it. */
  byte[] drain(byte[] part) {
    if (bytes.size() == 0) {
      return part;
    }
    byte[] held = Arrays.copyOf(bytes.toByteArray(), bytes.size() + part.length);
    System.arraycopy(part, 0, held, bytes.size(), part.length);
    discard();
    return held;
  }

  /** Returns the body, which may still be discarded. */
  byte[] copy() {
    return bytes.toByteArray();
  }

  /** Returns the body, whose memory stays reserved until it is sent. */
  byte[] take() {
    byte[] taken = bytes.toByteArray();
    bytes = new ByteArrayOutputStream();
    return taken;
  }
}
