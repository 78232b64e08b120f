package io.pathdeck.serving.http;

/**
 * What a server keeps in memory for one connection: the body of the request in progress and the
 * parts of its answer that wait. To be used on the connection's event loop.
 */
public interface ConnectionMemory {
  /** Gives up what is kept for a request. */
  interface Owner {
    /** Frees the memory; returns whether the caller is told truthfully that nothing has run. */
    boolean evict();
  }

  /** Whether answers count, and so should be read no faster than callers take them. */
  boolean limitsResponses();

  /** Counts bytes of a body that is to be kept; when false, they must not be kept. */
  boolean tryReserveBody(long bytes);

  /** Counts bytes of an answer that are to be kept; when false, they must not be kept. */
  boolean tryReserveResponse(long bytes);

  /** Bytes of an answer are no longer kept. */
  void releaseResponse(long bytes);

  /** Nothing is kept any more; what comes next belongs to nobody yet. */
  void releaseAll();

  /** Says whose request it is and how it can be given up for the sake of others. */
  void setOwner(String tenant, Owner owner);

  /** The request can no longer be given up, since nobody knows how far it came. */
  void disableEviction();
}
