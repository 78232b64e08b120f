package io.pathdeck.fleet.queue;

/** Recent response and slot times of the requests of a service; confined to one thread. */
public final class ServiceTimes {
  /** Weight of a new sample in the moving means, which thus follow about the last ten requests. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private double firstByteMs;
  private double slotTimeMs;

  /** Records the time from sending a request to an engine with a free slot to its first bytes. */
  public void onFirstBytes(long elapsedMs) {
    firstByteMs = movingMean(firstByteMs, elapsedMs);
  }

  /** Records for how long a request held its slot. */
  public void onSlotFreed(long heldMs) {
    slotTimeMs = movingMean(slotTimeMs, heldMs);
  }

  private static double movingMean(double mean, long sample) {
    return mean == 0 ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
  }

  /** The mean time to the first bytes on an engine with a free slot; 0 if unknown. */
  public double firstByteMs() {
    return firstByteMs;
  }

  /** The mean time for which a slot is held; 0 if unknown. */
  public double slotTimeMs() {
    return slotTimeMs;
  }
}
