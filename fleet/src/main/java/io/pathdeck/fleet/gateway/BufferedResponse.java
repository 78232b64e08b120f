package io.pathdeck.fleet.gateway;

import io.pathdeck.serving.http.ConnectionMemory;
import java.io.ByteArrayOutputStream;

/** The body of a non-streaming response, counted against the memory budget. */
final class BufferedResponse {
  private final ConnectionMemory memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  BufferedResponse(ConnectionMemory memory) {
    this.memory = memory;
  }

  /** Appends a part; returns false if the budget has no room for it. */
  boolean add(byte[] part) {
    boolean reserved = memory.tryReserveResponse(part.length);
    if (reserved) {
      bytes.writeBytes(part);
    }
    return reserved;
  }

  /** Discards the body and releases its memory. */
  void discard() {
    memory.releaseResponse(bytes.size());
    bytes.reset();
  }

  byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
