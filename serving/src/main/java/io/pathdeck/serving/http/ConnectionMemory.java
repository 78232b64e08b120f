package io.pathdeck.serving.http;

/**
 * Memory accounting of one connection, for the current request's body and the unsent parts of its
 * response. Confined to the connection's event loop.
 */
public interface ConnectionMemory {
  /** A request whose memory can be freed in favor of others. */
  interface Owner {
    /** Frees the memory; returns whether the caller is told that the request did not run. */
    boolean evict();
  }

  /** Returns whether responses count, so that reading them must wait for slow callers. */
  boolean limitsResponses();

  /** Reserves memory for part of a body; if false, it must not be buffered. */
  boolean tryReserveBody(long bytes);

  /** Reserves memory for part of a response; if false, it must not be buffered. */
  boolean tryReserveResponse(long bytes);

  /** Releases memory of a response. */
  void releaseResponse(long bytes);

  /** Releases all memory and clears the owner. */
  void releaseAll();

  /** Sets the tenant of the request and the owner to call for eviction. */
  void setOwner(String tenant, Owner owner);

  /** Excludes the request from eviction because its progress is unknown. */
  void disableEviction();
}
