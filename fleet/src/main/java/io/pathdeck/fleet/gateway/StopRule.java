package io.pathdeck.fleet.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a request may still be sent to an engine while the gateway stops: it has to be
 * finished before the gateway ends, by its deadline or by what requests of its route usually take.
 * Confined to the event loop, except for {@link #begin}.
 */
final class StopRule {
  /** An estimate follows about so many of the latest requests. */
  private static final int SAMPLES = 20;

  /** Few requests take longer than the mean and this multiple of the mean deviation. */
  private static final double DEVIATIONS = 2;

  /** How long the requests of one route run. */
  private static final class RunTime {
    private int samples;
    private double meanMs;
    private double deviationMs;

    void add(long sampleMs) {
      samples = Math.min(SAMPLES, samples + 1);
      double error = sampleMs - meanMs;
      meanMs += error / samples;
      if (samples > 1) {
        deviationMs += (Math.abs(error) - deviationMs) / samples;
      }
    }

    double usualMs() {
      return meanMs + DEVIATIONS * deviationMs;
    }
  }

  private final Map<String, RunTime> runTimes = new HashMap<>();
  private volatile Optional<StopSchedule> schedule = Optional.empty();

  /** Begins a stop. */
  void begin(StopSchedule newSchedule) {
    schedule = Optional.of(newSchedule);
  }

  /** Records how long an engine took for a request of this route. */
  void onServed(String route, long runMs) {
    runTimes.computeIfAbsent(route, name -> new RunTime()).add(runMs);
  }

  /**
   * Returns whether there is time to run a request of this route.
   *
   * @param ranMs for how long the part of the response that its caller has took
   * @param deadlineMs when it must have been answered, by {@code nowMs}
   */
  boolean allowsSend(String route, long ranMs, long deadlineMs, long nowMs) {
    if (schedule.isEmpty()) {
      return true;
    }
    StopSchedule stop = schedule.get();
    RunTime known = runTimes.get(route);
    double usualMs = known == null ? stop.drainMs() : known.usualMs() - ranMs;
    double neededMs = Math.min(usualMs, (double) (deadlineMs - nowMs));
    return neededMs <= stop.leftMs(TimeUnit.MILLISECONDS.toNanos(nowMs));
  }
}
