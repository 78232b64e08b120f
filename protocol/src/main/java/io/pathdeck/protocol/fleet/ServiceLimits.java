package io.pathdeck.protocol.fleet;

/**
 * A service and what one of its engines can take.
 *
 * @param maxConnections the most connections from all callers together; 0: not stated
 * @param slots requests that an engine runs at once; 0: not stated
 * @param memoryTokens tokens that an engine's memory holds; 0: not stated
 */
public record ServiceLimits(String name, int maxConnections, int slots, long memoryTokens) {}
