package io.pathdeck.fleet.queue;

/**
 * What is known of the room at an engine.
 *
 * @param slots requests that it runs at once; 0 when not known
 * @param gatewayLoad requests on it of this process and of peers that tell theirs
 * @param estimatedLoad requests on it, as far as known
 * @param loadAgeMs how old the engine's own word on its load is; negative when there is none
 */
public record EngineCapacity(int slots, int gatewayLoad, double estimatedLoad, long loadAgeMs) {
  /**
   * How long an engine's word holds. A place is held for some hundred milliseconds, so most of the
   * requests that were told are still there.
   */
  private static final long FRESH_LOAD_MS = 300;

  /** Whether the load can be relied on. */
  private boolean isLoadKnown() {
    boolean fullOfTold = gatewayLoad > slots;
    boolean fresh = loadAgeMs >= 0 && loadAgeMs <= FRESH_LOAD_MS;
    return slots > 0 && (fullOfTold || fresh);
  }

  /**
   * Whether it surely has no room for one more request. One request may wait at an engine, so that
   * a place that becomes free is taken without the way to the gateway and back.
   */
  public boolean isKnownFull() {
    return isLoadKnown() && estimatedLoad > slots;
  }

  /** How long one more request would wait there when a place is held for {@code placeMs}. */
  double expectedWaitMs(double placeMs) {
    return Math.max(0, estimatedLoad + 1 - slots) * placeMs / slots;
  }
}
