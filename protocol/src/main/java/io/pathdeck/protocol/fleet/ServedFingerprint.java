package io.pathdeck.protocol.fleet;

/**
 * An engine served a request that has this fingerprint to its end.
 *
 * @param agoMs how long ago that was
 */
public record ServedFingerprint(RequestFingerprint fingerprint, long agoMs) {}
