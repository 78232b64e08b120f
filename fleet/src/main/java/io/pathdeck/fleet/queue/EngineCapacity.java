package io.pathdeck.fleet.queue;

/**
 * What is known of the free capacity of an engine.
 *
 * @param slots requests that it runs at once; 0 if unknown
 * @param gatewayLoad its requests from this process and from peers that report theirs
 * @param estimatedLoad its requests, as far as known
 * @param loadAgeMs age of the engine's own load report; negative if there is none
 */
public record EngineCapacity(int slots, int gatewayLoad, double estimatedLoad, long loadAgeMs) {
  /**
   * Maximum age of a load report in use. A slot is held for some hundred milliseconds, so most of
   * the reported requests are still there.
   */
  private static final long FRESH_LOAD_MS = 300;

  private boolean isLoadKnown() {
    boolean fullByGatewayLoad = gatewayLoad > slots;
    boolean fresh = loadAgeMs >= 0 && loadAgeMs <= FRESH_LOAD_MS;
    return slots > 0 && (fullByGatewayLoad || fresh);
  }

  /**
   * Whether it certainly has no capacity for one more request. One request may wait at an engine,
   * so that a freed slot is reused without a round trip to the gateway.
   */
  public boolean isKnownFull() {
    return isLoadKnown() && estimatedLoad > slots;
  }

  /** How long one more request would wait there if each slot is held for {@code slotTimeMs}. */
  double expectedWaitMs(double slotTimeMs) {
    return Math.max(0, estimatedLoad + 1 - slots) * slotTimeMs / slots;
  }
}
