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

  /** What one connection holds of the budget; answers do not count. */
  HeldMemory forConnection() {
    return new Bodies();
  }

  private final class Bodies implements HeldMemory {
    private long reservedBytes;

    @Override
    public boolean countsAnswers() {
      return false;
    }

    @Override
    public boolean tryHoldBody(long bytes) {
      boolean reserved = tryReserve(bytes);
      if (reserved) {
        reservedBytes += bytes;
      }
      return reserved;
    }

    @Override
    public boolean tryHoldAnswer(long bytes) {
      return true;
    }

    @Override
    public void releaseAnswer(long bytes) {}

    @Override
    public void releaseAll() {
      release(reservedBytes);
      reservedBytes = 0;
    }

    @Override
    public void belongTo(String tenant, Owner owner) {}

    @Override
    public void cannotBeGivenUp() {}
  }
}
