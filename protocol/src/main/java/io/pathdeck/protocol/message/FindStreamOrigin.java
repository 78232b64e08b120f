package io.pathdeck.protocol.message;

/**
 * Asks another gateway where a stream began.
 *
 * @param stream hash of the caller's attempt that brought the first event
 */
public record FindStreamOrigin(long stream) implements Message {}
