package io.pathdeck.fleet.engine;

/**
 * Pace of one engine instance: how long the engine takes for its work, as observed by this process.
 * Times are in milliseconds; confined to one thread.
 *
 * <p>There are two measures. The long-run pace is the average time per stream event; the effect of
 * a single delayed stream is bounded. The pace that the engine reports changes many times a second,
 * so each report counts only briefly, relative to the average of this engine's reports.
 */
public final class EnginePace {
  /** Shorter streams are ignored: their timing depends more on the network than on the engine. */
  private static final long MIN_EVENTS = 5;

  /** Limits each sample to between the estimate divided by this factor and multiplied by it. */
  private static final double MAX_CHANGE_FACTOR = 2;

  /** Limits the weight of past samples, so that the average follows lasting changes. */
  private static final int MAX_SAMPLES = 8;

  /** Half-life of the weight of samples, so that an engine avoided as slow is tried again. */
  private static final double SAMPLES_HALF_LIFE_MS = 30_000;

  /** Half-life of a report's effect; the reported pace changes many times a second. */
  private static final double REPORT_HALF_LIFE_MS = 100;

  private static final double MIN_FACTOR = 0.5;
  private static final double MAX_FACTOR = 2;

  private double msPerEvent;
  private int sampleCount;
  private long lastSampleAtMs;
  private double averageReportedPercent;
  private int reportCount;
  private double lastReportedPercent;
  private long lastReportAtMs;

  /** Adds a sample: a stream that delivered {@code events} events over {@code spanMs}. */
  public void onStream(long events, long spanMs, long nowMs) {
    if (events < MIN_EVENTS || spanMs <= 0) {
      return;
    }
    double sample = spanMs / (double) events;
    if (sampleCount == 0) {
      msPerEvent = sample;
    } else {
      double min = msPerEvent / MAX_CHANGE_FACTOR;
      double clippedSample = Math.max(min, Math.min(msPerEvent * MAX_CHANGE_FACTOR, sample));
      msPerEvent += (clippedSample - msPerEvent) / Math.min(sampleCount + 1, MAX_SAMPLES);
    }
    sampleCount = Math.min(sampleCount + 1, MAX_SAMPLES);
    lastSampleAtMs = nowMs;
  }

  /** Adds a pace that the engine reported; only its ratio to other reports is used. */
  public void onPaceReport(int pacePercent, long nowMs) {
    reportCount = Math.min(reportCount + 1, MAX_SAMPLES);
    averageReportedPercent += (pacePercent - averageReportedPercent) / reportCount;
    lastReportedPercent = pacePercent;
    lastReportAtMs = nowMs;
  }

  /** Whether the engine has ever reported its pace. */
  boolean isReported() {
    return reportCount > 0;
  }

  boolean hasSamples() {
    return sampleCount > 0;
  }

  /** Average time per event of the sampled streams; 0 before the first sample. */
  public double msPerEvent() {
    return msPerEvent;
  }

  /** Weight of the samples, in streams; decays with time. */
  double weight(long nowMs) {
    return sampleCount * Math.pow(0.5, (nowMs - lastSampleAtMs) / SAMPLES_HALF_LIFE_MS);
  }

  /**
   * Latest report relative to the average of this engine's reports; decays to 1, and is 1 without
   * reports.
   */
  double currentFactor(long nowMs) {
    if (reportCount == 0) {
      return 1;
    }
    double factor =
        Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, lastReportedPercent / averageReportedPercent));
    return 1 + (factor - 1) * Math.pow(0.5, (nowMs - lastReportAtMs) / REPORT_HALF_LIFE_MS);
  }
}
