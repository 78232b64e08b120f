package io.pathdeck.serving.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total size of buffered request bodies over all connections, because concurrent uploads
 * could exhaust the memory although each is within its own limit.
 */
final class BodyBudget {
  private final long capacity;
  private final AtomicLong reservedBytes = new AtomicLong();

  BodyBudget(long capacity) {
    this.capacity = capacity;
  }

  /** Reserves bytes; returns false if the budget is exhausted. */
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

  /** Creates the reservation of one connection; responses do not count. */
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
