package io.pathdeck.fleet.gateway;

import io.pathdeck.serving.http.HeldMemory;
import java.io.ByteArrayOutputStream;

/** The body of an answer that is passed on whole; what it holds is counted. */
final class BufferedResponse {
  private final HeldMemory memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  BufferedResponse(HeldMemory memory) {
    this.memory = memory;
  }

  /** Keeps a part; false when there is no memory for it. */
  boolean add(byte[] part) {
    boolean kept = memory.tryHoldAnswer(part.length);
    if (kept) {
      bytes.writeBytes(part);
    }
    return kept;
  }

  /** The answer will not be passed on. */
  void discard() {
    memory.releaseAnswer(bytes.size());
    bytes.reset();
  }

  byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
