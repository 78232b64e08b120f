package io.pathdeck.fleet.queue;

/** How long the requests of a service take of late; confined to one thread. */
public final class ServiceTimes {
  /** How much a new time counts: the means follow some ten requests. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private double firstByteMs;
  private double slotTimeMs;

  /** A request that found room got its first bytes this long after it was sent. */
  public void onFirstBytes(long afterMs) {
    firstByteMs = movingMean(firstByteMs, afterMs);
  }

  /** A request held its place for this long. */
  public void onSlotFreed(long heldMs) {
    slotTimeMs = movingMean(slotTimeMs, heldMs);
  }

  private static double movingMean(double known, long newer) {
    return known == 0 ? newer : known + (newer - known) * SAMPLE_WEIGHT;
  }

  /** The usual time to the first bytes at an engine with room; 0 when not known. */
  public double firstByteMs() {
    return firstByteMs;
  }

  /** The usual time for which a place is held; 0 when not known. */
  public double slotTimeMs() {
    return slotTimeMs;
  }
}
