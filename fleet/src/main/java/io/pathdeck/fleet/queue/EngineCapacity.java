package io.pathdeck.fleet.queue;

/**
 * A gateway's estimate of the load of an engine.
 *
 * @param slots requests that the engine runs at once; 0 if unknown
 * @param gatewayLoad requests at the engine from this gateway and from peers that report theirs
 * @param estimatedLoad estimated requests at the engine, from all processes
 * @param loadAgeMs age of the engine's own load report; negative if there is none
 */
public record EngineCapacity(int slots, int gatewayLoad, double estimatedLoad, long loadAgeMs) {
  /**
   * Maximum age of a load report in use. A request holds its slot for a few hundred milliseconds,
   * so most of the reported requests are still running.
   */
  private static final long MAX_LOAD_AGE_MS = 300;

  private boolean isLoadKnown() {
    boolean fullByGatewayLoad = gatewayLoad > slots;
    boolean isReportRecent = loadAgeMs >= 0 && loadAgeMs <= MAX_LOAD_AGE_MS;
    return slots > 0 && (fullByGatewayLoad || isReportRecent);
  }

  /**
   * Whether the load is known and exceeds the slots. One request beyond the slots is allowed, so
   * that the engine reuses a freed slot without a round trip to the gateway.
   */
  public boolean isKnownFull() {
    return isLoadKnown() && estimatedLoad > slots;
  }

  /**
   * Returns how long one more request would wait if each request holds its slot for {@code
   * slotTimeMs}.
   */
  double expectedWaitMs(double slotTimeMs) {
    return Math.max(0, estimatedLoad + 1 - slots) * slotTimeMs / slots;
  }
}
