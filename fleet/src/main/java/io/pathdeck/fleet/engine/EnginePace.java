package io.pathdeck.fleet.engine;

/**
 * Pace of one engine instance, that is how long work takes there, as seen by this process. Times
 * are in milliseconds; confined to one thread.
 *
 * <p>Two measures are kept apart. The long-run pace is the time per stream event: it holds for the
 * lifetime of the instance, shows in each stream, and is bounded against single delayed streams.
 * The pace that the engine reports changes many times a second, so it counts only briefly and
 * relative to the average of this engine's reports.
 */
public final class EnginePace {
  /** With fewer events, a sample shows the network rather than the engine. */
  private static final long MIN_EVENTS = 5;

  /** Bounds each sample to this multiple or fraction of the current estimate. */
  private static final double MAX_CHANGE_FACTOR = 2;

  /** Bounds the weight of past samples, so that newer ones displace older ones. */
  private static final int MAX_SAMPLES = 8;

  /**
   * Half-life of the samples' weight, so that an engine that gets no work because it was slow is
   * tried again.
   */
  private static final double SAMPLES_HALF_LIFE_MS = 30_000;

  /** Short, since the reported pace changes many times a second. */
  private static final double REPORT_HALF_LIFE_MS = 100;

  private static final double MIN_FACTOR = 0.5;
  private static final double MAX_FACTOR = 2;

  private double msPerEvent;
  private int samples;
  private long lastSampleAtMs;
  private double averageReported;
  private int reportCount;
  private double lastReported;
  private long lastReportAtMs;

  /** Adds a stream that delivered {@code events} events over {@code spanMs}. */
  public void onStream(long events, long spanMs, long nowMs) {
    if (events < MIN_EVENTS || spanMs <= 0) {
      return;
    }
    double sample = spanMs / (double) events;
    if (samples == 0) {
      msPerEvent = sample;
    } else {
      double min = msPerEvent / MAX_CHANGE_FACTOR;
      double clipped = Math.max(min, Math.min(msPerEvent * MAX_CHANGE_FACTOR, sample));
      msPerEvent += (clipped - msPerEvent) / Math.min(samples + 1, MAX_SAMPLES);
    }
    samples = Math.min(samples + 1, MAX_SAMPLES);
    lastSampleAtMs = nowMs;
  }

  /** Adds a pace that the engine reported. */
  public void onReported(int pacePercent, long nowMs) {
    reportCount = Math.min(reportCount + 1, MAX_SAMPLES);
    averageReported += (pacePercent - averageReported) / reportCount;
    lastReported = pacePercent;
    lastReportAtMs = nowMs;
  }

  /** Whether the engine has ever reported its pace. */
  boolean isReported() {
    return reportCount > 0;
  }

  boolean hasSamples() {
    return samples > 0;
  }

  /** Average time per event of the sampled streams; 0 before the first one. */
  public double msPerEvent() {
    return msPerEvent;
  }

  /** Weight of the samples, in streams; decays with time. */
  double weight(long nowMs) {
    return samples * Math.pow(0.5, (nowMs - lastSampleAtMs) / SAMPLES_HALF_LIFE_MS);
  }

  /** Current duration of work as a multiple of this engine's average; 1 if not reported. */
  double currentFactor(long nowMs) {
    if (reportCount == 0) {
      return 1;
    }
    double factor = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, lastReported / averageReported));
    return 1 + (factor - 1) * Math.pow(0.5, (nowMs - lastReportAtMs) / REPORT_HALF_LIFE_MS);
  }
}
