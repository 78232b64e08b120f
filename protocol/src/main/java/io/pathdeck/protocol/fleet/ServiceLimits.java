package io.pathdeck.protocol.fleet;

/**
 * A service and what one of its engines can take.
 *
 * @param maxConnections the most connections from all callers together; 0: not stated
 * @param slots requests that an engine runs at once; 0: not stated
 * @param memoryTokens tokens that an engine's memory holds; 0: not stated
 * @param coldStartMs how long an engine is cold after its start; 0: engines start warm
 * @param coldRequestsPerSecond the most requests that a cold engine takes in a second, from all
 *     processes together; 0: no limit
 */
public record ServiceLimits(
    String name,
    int maxConnections,
    int slots,
    long memoryTokens,
    long coldStartMs,
    double coldRequestsPerSecond) {
  /** A service whose engines start warm. */
  public ServiceLimits(String name, int maxConnections, int slots, long memoryTokens) {
    this(name, maxConnections, slots, memoryTokens, 0, 0);
  }

  /** Whether a cold engine takes only a limited rate of requests. */
  public boolean limitsColdEngines() {
    return coldRequestsPerSecond > 0;
  }
}
