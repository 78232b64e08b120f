package io.pathdeck.fleet.gateway;

import io.pathdeck.serving.http.HeldMemory;
import java.io.ByteArrayOutputStream;

/** The body of a non-streaming response, counted against the memory budget. */
final class BufferedResponse {
  private final HeldMemory memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  BufferedResponse(HeldMemory memory) {
    this.memory = memory;
  }

  /** Appends a part; returns false if the budget has no room for it. */
  boolean add(byte[] part) {
    boolean reserved = memory.tryHoldAnswer(part.length);
    if (reserved) {
      bytes.writeBytes(part);
    }
    return reserved;
  }

  /** Discards the body and releases its memory. */
  void discard() {
    memory.releaseAnswer(bytes.size());
    bytes.reset();
  }

  byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
