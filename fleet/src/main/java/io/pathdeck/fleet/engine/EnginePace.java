package io.pathdeck.fleet.engine;

/**
 * How long work takes at one life of an engine, as far as this process sees it; pure, confined to
 * one thread, times in milliseconds.
 *
 * <p>Two things are told apart. The long-run pace is the time an event of a stream takes there; it
 * holds for the engine's life, shows in each stream, and a single stream that was held up on its
 * way must not turn it. The figure that the engine tells of itself changes many times a second, so
 * it holds for a moment only, and is compared with what this engine usually tells.
 */
public final class EnginePace {
  /** Fewer events show more of the network than of the engine. */
  private static final long MIN_EVENTS = 5;

  /** A stream counts as no slower or faster than this multiple of what is known. */
  private static final double MAX_CHANGE_FACTOR = 2;

  /** So many streams are remembered: newer ones push older ones out. */
  private static final int MAX_SAMPLES = 8;

  /**
   * After this time what is known counts half, so that an engine that gets nothing because it was
   * slow is tried again.
   */
  private static final double SAMPLES_HALF_LIFE_MS = 30_000;

  /** The told figure changes many times a second. */
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

  /** A stream brought {@code events} events over {@code spanMs}. */
  public void onStream(long events, long spanMs, long nowMs) {
    if (events < MIN_EVENTS || spanMs <= 0) {
      return;
    }
    double sample = spanMs / (double) events;
    if (samples == 0) {
      msPerEvent = sample;
    } else {
      double least = msPerEvent / MAX_CHANGE_FACTOR;
      double clipped = Math.max(least, Math.min(msPerEvent * MAX_CHANGE_FACTOR, sample));
      msPerEvent += (clipped - msPerEvent) / Math.min(samples + 1, MAX_SAMPLES);
    }
    samples = Math.min(samples + 1, MAX_SAMPLES);
    lastSampleAtMs = nowMs;
  }

  /** The engine told how long work takes at this moment. */
  public void onReported(int paceInHundredths, long nowMs) {
    reportCount = Math.min(reportCount + 1, MAX_SAMPLES);
    averageReported += (paceInHundredths - averageReported) / reportCount;
    lastReported = paceInHundredths;
    lastReportAtMs = nowMs;
  }

  /** Whether the engine tells its pace at all. */
  boolean isReported() {
    return reportCount > 0;
  }

  /** Whether a stream of the engine was seen. */
  boolean hasSamples() {
    return samples > 0;
  }

  /** The time an event takes, as streams of this engine showed it; 0 before the first one. */
  public double msPerEvent() {
    return msPerEvent;
  }

  /** What is known, in streams; it fades with time. */
  double weight(long nowMs) {
    return samples * Math.pow(0.5, (nowMs - lastSampleAtMs) / SAMPLES_HALF_LIFE_MS);
  }

  /** How many times as long as usually there work takes at this moment; 1 when it is not known. */
  double currentFactor(long nowMs) {
    if (reportCount == 0) {
      return 1;
    }
    double factor = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, lastReported / averageReported));
    return 1 + (factor - 1) * Math.pow(0.5, (nowMs - lastReportAtMs) / REPORT_HALF_LIFE_MS);
  }
}
