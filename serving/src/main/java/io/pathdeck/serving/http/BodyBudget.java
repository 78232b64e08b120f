package io.pathdeck.serving.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of request bodies that a server holds at a time, over all connections. Without
 * it a few large uploads at once would exhaust the memory, although each is within its limit.
 */
final class BodyBudget {
  private final long capacity;
  private final AtomicLong reservedBytes = new AtomicLong();

  BodyBudget(long capacity) {
    this.capacity = capacity;
  }

  /** Reserves room; false when there is none now. */
  boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) > capacity) {
      reservedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** What one connection holds of the budget; answers do not count. */
  ConnectionMemory forConnection() {
    return new ConnectionBodies();
  }

  private final class ConnectionBodies implements ConnectionMemory {
    private long reservedBytes;

    @Override
    public boolean limitsResponses() {
      return false;
    }

    @Override
    public boolean tryReserveBody(long bytes) {
      boolean reserved = tryReserve(bytes);
      if (reserved) {
        reservedBytes += bytes;
      }
      return reserved;
    }

    @Override
    public boolean tryReserveResponse(long bytes) {
      return true;
    }

    @Override
    public void releaseResponse(long bytes) {}

    @Override
    public void releaseAll() {
      release(reservedBytes);
      reservedBytes = 0;
    }

    @Override
    public void setOwner(String tenant, Owner owner) {}

    @Override
    public void disableEviction() {}
  }
}
