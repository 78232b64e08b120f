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
  private static final long FEWEST_EVENTS = 5;

  /** A stream counts as no slower or faster than this multiple of what is known. */
  private static final double LARGEST_STEP = 2;

  /** So many streams are remembered: newer ones push older ones out. */
  private static final int MOST_SAMPLES = 8;

  /**
   * After this time what is known counts half, so that an engine that gets nothing because it was
   * slow is tried again.
   */
  private static final double SAMPLES_HALF_LIFE_MS = 30_000;

  /** The told figure changes many times a second. */
  private static final double TOLD_HALF_LIFE_MS = 100;

  private static final double LEAST_FACTOR = 0.5;
  private static final double LARGEST_FACTOR = 2;

  private double msPerEvent;
  private int samples;
  private long sampledAtMs;
  private double toldUsually;
  private int told;
  private double toldLast;
  private long toldAtMs;

  /** A stream brought {@code events} events over {@code spanMs}. */
  public void onStream(long events, long spanMs, long nowMs) {
    if (events < FEWEST_EVENTS || spanMs <= 0) {
      return;
    }
    double sample = spanMs / (double) events;
    if (samples == 0) {
      msPerEvent = sample;
    } else {
      double least = msPerEvent / LARGEST_STEP;
      double clipped = Math.max(least, Math.min(msPerEvent * LARGEST_STEP, sample));
      msPerEvent += (clipped - msPerEvent) / Math.min(samples + 1, MOST_SAMPLES);
    }
    samples = Math.min(samples + 1, MOST_SAMPLES);
    sampledAtMs = nowMs;
  }

  /** The engine told how long work takes at this moment. */
  public void onTold(int paceInHundredths, long nowMs) {
    told = Math.min(told + 1, MOST_SAMPLES);
    toldUsually += (paceInHundredths - toldUsually) / told;
    toldLast = paceInHundredths;
    toldAtMs = nowMs;
  }

  /** Whether the engine tells its pace at all. */
  boolean isTold() {
    return told > 0;
  }

  /** Whether a stream of the engine was seen. */
  boolean isKnown() {
    return samples > 0;
  }

  /** The time an event takes, as streams of this engine showed it; 0 before the first one. */
  public double msPerEvent() {
    return msPerEvent;
  }

  /** What is known, in streams; it fades with time. */
  double weight(long nowMs) {
    return samples * Math.pow(0.5, (nowMs - sampledAtMs) / SAMPLES_HALF_LIFE_MS);
  }

  /** How many times as long as usually there work takes at this moment; 1 when it is not known. */
  double momentaryFactor(long nowMs) {
    if (told == 0) {
      return 1;
    }
    double factor = Math.max(LEAST_FACTOR, Math.min(LARGEST_FACTOR, toldLast / toldUsually));
    return 1 + (factor - 1) * Math.pow(0.5, (nowMs - toldAtMs) / TOLD_HALF_LIFE_MS);
  }
}
