package io.pathdeck.testkit.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The arrivals of a run, drawn from a seed. */
public final class LoadPlan {
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final int PROMPT_FAMILIES = 24;

  /** One online request. */
  public record Arrival(
      long atMs,
      int node,
      int family,
      int number,
      int promptTokens,
      int answerTokens,
      boolean stream) {}

  /** One batch job. */
  public record Job(long atMs, int number, int items, int answerTokens) {}

  /**
   * What to draw.
   *
   * @param rate online requests a second, on average
   * @param burstSize requests that arrive together every {@code burstIntervalMs}
   * @param jobIntervalMs the time from one heap of jobs to the next
   */
  public record Shape(
      int nodes,
      double rate,
      long durationMs,
      int burstSize,
      long burstIntervalMs,
      long jobIntervalMs,
      int jobsPerHeap,
      int itemsPerJob,
      int batchAnswerTokens) {}

  private LoadPlan() {}

  /** Draws the online arrivals. */
  public static List<Arrival> arrivals(Shape shape, long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Arrival> arrivals = new ArrayList<>();
    int number = 0;
    double atMs = 0;
    while (shape.rate() > 0) {
      atMs += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / shape.rate();
      if (atMs >= shape.durationMs()) {
        break;
      }
      arrivals.add(draw(shape, random, (long) atMs, number++));
    }
    if (shape.burstSize() > 0) {
      for (long at = shape.burstIntervalMs();
          at < shape.durationMs();
          at += shape.burstIntervalMs()) {
        for (int i = 0; i < shape.burstSize(); i++) {
          arrivals.add(draw(shape, random, at, number++));
        }
      }
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atMs));
    return arrivals;
  }

  private static Arrival draw(Shape shape, UniformRandomProvider random, long atMs, int number) {
    return new Arrival(
        atMs,
        random.nextInt(shape.nodes()),
        random.nextInt(PROMPT_FAMILIES),
        number,
        64 + random.nextInt(400),
        16 + random.nextInt(48),
        random.nextInt(8) != 0);
  }

  /** Lists the batch jobs. */
  public static List<Job> jobs(Shape shape) {
    List<Job> jobs = new ArrayList<>();
    int number = 0;
    for (long at = 0;
        at < shape.durationMs() && shape.jobIntervalMs() > 0;
        at += shape.jobIntervalMs()) {
      for (int i = 0; i < shape.jobsPerHeap(); i++) {
        jobs.add(new Job(at, number++, shape.itemsPerJob(), shape.batchAnswerTokens()));
      }
    }
    return jobs;
  }
}
