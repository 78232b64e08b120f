package io.pathdeck.protocol.fleet;

/**
 * Where a stream began, as its gateway tells others.
 *
 * @param stream hash of the caller's attempt that brought the first event
 * @param attempt number of the gateway's attempt; a later one replaces the origin of an earlier one
 * @param validMs for how long its caller may take the stream up
 */
public record StreamOriginRecord(long stream, StreamOrigin origin, int attempt, int validMs) {}
