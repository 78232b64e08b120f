package io.pathdeck.protocol.snapshot;

/** A bound idempotency key in a snapshot. */
public record KeyRecord(
    String tenant, String key, String fingerprint, String value, long expiresAtMs) {}
