package io.pathdeck.fleet.gateway;

/**
 * Bounds the memory of all responses that a gateway collects before it sends them, with or without
 * a {@link MemoryBudget}, so that engines that write without end do not exhaust the heap. Confined
 * to the event loop.
 */
final class ResponseMemory {
  /** Bounds one response. */
  static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  private static final int HEAP_PARTS = 8;

  private final long maxBytes;
  private long heldBytes;

  ResponseMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Allows an eighth of the heap: a body is copied as it grows and once more to be sent. */
  static ResponseMemory ofHeap() {
    return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  }

  /** Reserves memory; returns false if there is none left. */
  boolean tryReserve(int bytes) {
    boolean fits = heldBytes + bytes <= maxBytes;
    heldBytes += fits ? bytes : 0;
    return fits;
  }

  void release(int bytes) {
    heldBytes -= bytes;
  }

  long heldBytes() {
    return heldBytes;
  }
}
