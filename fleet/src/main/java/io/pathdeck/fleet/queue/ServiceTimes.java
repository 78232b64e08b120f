package io.pathdeck.fleet.queue;

/** How long the requests of a service take of late; confined to one thread. */
public final class ServiceTimes {
  /** How much a new time counts: the means follow some ten requests. */
  private static final double NEW_WEIGHT = 0.1;

  private double firstMs;
  private double placeMs;

  /** A request that found room got its first bytes this long after it was sent. */
  public void onFirstBytes(long afterMs) {
    firstMs = mean(firstMs, afterMs);
  }

  /** A request held its place for this long. */
  public void onPlaceFreed(long heldMs) {
    placeMs = mean(placeMs, heldMs);
  }

  private static double mean(double known, long newer) {
    return known == 0 ? newer : known + (newer - known) * NEW_WEIGHT;
  }

  /** The usual time to the first bytes at an engine with room; 0 when not known. */
  public double firstMs() {
    return firstMs;
  }

  /** The usual time for which a place is held; 0 when not known. */
  public double placeMs() {
    return placeMs;
  }
}
