package io.pathdeck.protocol.command;

/** Binds an idempotency key to a value; a key already bound keeps its value. */
public record ReserveKey(String tenant, String key, String fingerprint, String value)
    implements JobsCommand {}
