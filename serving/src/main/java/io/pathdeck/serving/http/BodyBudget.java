package io.pathdeck.serving.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of request bodies that a server holds at a time, over all connections. Without
 * it a few large uploads at once would exhaust the memory, although each is within its limit.
 */
final class BodyBudget {
  private final long capacity;
  private final AtomicLong held = new AtomicLong();

  BodyBudget(long capacity) {
    this.capacity = capacity;
  }

  /** Reserves room; false when there is none now. */
  boolean tryReserve(long bytes) {
    if (held.addAndGet(bytes) > capacity) {
      held.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(long bytes) {
    held.addAndGet(-bytes);
  }
}
