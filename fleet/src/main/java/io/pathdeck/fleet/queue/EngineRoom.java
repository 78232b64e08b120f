package io.pathdeck.fleet.queue;

/**
 * What is known of the room at an engine.
 *
 * @param slots requests that it runs at once; 0 when not known
 * @param toldLoad requests on it of this process and of peers that tell theirs
 * @param load requests on it, as far as known
 * @param loadAgeMs how old the engine's own word on its load is; negative when there is none
 */
public record EngineRoom(int slots, int toldLoad, double load, long loadAgeMs) {
  /**
   * How long an engine's word holds. A place is held for some hundred milliseconds, so most of the
   * requests that were told are still there.
   */
  private static final long FRESH_MS = 300;

  /** Whether the load can be relied on. */
  private boolean isKnown() {
    boolean fullOfTold = toldLoad > slots;
    boolean fresh = loadAgeMs >= 0 && loadAgeMs <= FRESH_MS;
    return slots > 0 && (fullOfTold || fresh);
  }

  /**
   * Whether it surely has no room for one more request. One request may wait at an engine, so that
   * a place that becomes free is taken without the way to the gateway and back.
   */
  public boolean isKnownFull() {
    return isKnown() && load > slots;
  }

  /** How long one more request would wait there when a place is held for {@code placeMs}. */
  double waitMs(double placeMs) {
    return Math.max(0, load + 1 - slots) * placeMs / slots;
  }
}
