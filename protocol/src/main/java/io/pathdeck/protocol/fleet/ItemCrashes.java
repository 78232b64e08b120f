package io.pathdeck.protocol.fleet;

/**
 * How many engines have crashed in a row under an open item.
 *
 * @param crashes the crashes since the item last advanced
 */
public record ItemCrashes(String jobId, String itemId, int crashes) {}
