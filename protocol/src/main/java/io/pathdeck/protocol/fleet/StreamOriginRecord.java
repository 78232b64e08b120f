package io.pathdeck.protocol.fleet;

/**
 * Where a stream began, as its gateway tells others.
 *
 * @param stream hash of the caller's attempt that brought the first event
 * @param attempt greater than any number of an attempt if the stream has begun; a gateway of an
 *     earlier release tells the number of its attempt, at which the stream may not have begun
 * @param validMs for how long its caller may take the stream up
 */
public record StreamOriginRecord(long stream, StreamOrigin origin, int attempt, int validMs) {
  /** Gateways of an earlier release keep the record with the greatest number. */
  private static final int BEGUN = Integer.MAX_VALUE;

  /** The record of a stream whose first event came from {@code origin}; it never gets outdated. */
  public StreamOriginRecord(long stream, StreamOrigin origin, int validMs) {
    this(stream, origin, BEGUN, validMs);
  }

  /** Whether the first event came from the origin; otherwise an engine there was only asked. */
  public boolean hasBegun() {
    return attempt == BEGUN;
  }
}
