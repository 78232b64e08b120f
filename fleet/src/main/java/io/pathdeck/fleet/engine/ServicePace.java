package io.pathdeck.fleet.engine;

import java.util.Collection;

/**
 * Relative pace of the engines of one service: how long each engine takes for its work, compared
 * with the median of the engines whose streams this process has sampled.
 *
 * <p>An engine without samples has the median pace, and with few samples the estimate is drawn
 * towards the median. Engines count as equal unless some engine of the service reports its pace, as
 * engines that share a machine do (see {@link EngineState#reportsPace}).
 */
public final class ServicePace {
  /** Treats all engines as equal. */
  public static final ServicePace EQUAL = new ServicePace(0, 0);

  /** An engine whose relative pace is at least this high is slow. */
  private static final double SLOW_THRESHOLD = 1.5;

  /** Weight, in streams, of the prior assumption that an engine has the median pace. */
  private static final double PRIOR_STREAMS = 0.5;

  private static final double MIN_RELATIVE_PACE = 0.3;
  private static final double MAX_RELATIVE_PACE = 5;

  private final double medianMsPerEvent;
  private final long nowMs;

  private ServicePace(double medianMsPerEvent, long nowMs) {
    this.medianMsPerEvent = medianMsPerEvent;
    this.nowMs = nowMs;
  }

  /** Computes the pace of a service from its engines. */
  public static ServicePace of(Collection<EngineState> engines, long nowMs) {
    if (engines.stream().noneMatch(engine -> engine.pace().isReported())) {
      return EQUAL;
    }
    double[] sorted =
        engines.stream()
            .map(EngineState::pace)
            .filter(EnginePace::hasSamples)
            .mapToDouble(EnginePace::msPerEvent)
            .sorted()
            .toArray();
    return sorted.length == 0 ? EQUAL : new ServicePace(sorted[(sorted.length - 1) / 2], nowMs);
  }

  /** Whether the engines may differ in pace; false for {@link #EQUAL}. */
  public boolean isUneven() {
    return medianMsPerEvent > 0;
  }

  /** Long-run duration of work at an engine as a multiple of the median. */
  public double relativePace(EngineState engine) {
    if (!isUneven()) {
      return 1;
    }
    EnginePace pace = engine.pace();
    double weight = pace.weight(nowMs);
    double multiple = pace.msPerEvent() / medianMsPerEvent;
    double estimate = (multiple * weight + PRIOR_STREAMS) / (weight + PRIOR_STREAMS);
    return Math.max(MIN_RELATIVE_PACE, Math.min(MAX_RELATIVE_PACE, estimate));
  }

  /** Relative pace multiplied by the current factor of the engine's reports. */
  public double currentRelativePace(EngineState engine) {
    return isUneven() ? relativePace(engine) * engine.pace().currentFactor(nowMs) : 1;
  }

  /** Whether the relative pace of the engine reaches the threshold for slow engines. */
  public boolean isSlow(EngineState engine) {
    return relativePace(engine) >= SLOW_THRESHOLD;
  }
}
