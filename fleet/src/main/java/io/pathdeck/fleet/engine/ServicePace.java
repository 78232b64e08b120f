package io.pathdeck.fleet.engine;

import java.util.Collection;

/**
 * How long work takes at engines of one service, relative to what is usual there: the median of the
 * engines whose streams this process has seen.
 *
 * <p>An engine of which nothing is known is taken for a usual one, one of which little is known for
 * one in between. Where no engine tells its pace all count as equal.
 */
public final class ServicePace {
  /** All engines are taken for equal. */
  public static final ServicePace EQUAL = new ServicePace(0, 0);

  /** An engine that takes so many times as long as usual is a slow one. */
  private static final double SLOW_THRESHOLD = 1.5;

  /** How many streams the assumption weighs that an engine is a usual one. */
  private static final double PRIOR_STREAMS = 0.5;

  private static final double MIN_RELATIVE_PACE = 0.3;
  private static final double MAX_RELATIVE_PACE = 5;

  private final double medianMsPerEvent;
  private final long nowMs;

  private ServicePace(double usualMsPerEvent, long nowMs) {
    this.medianMsPerEvent = usualMsPerEvent;
    this.nowMs = nowMs;
  }

  /** The pace of a service with these engines. */
  public static ServicePace of(Collection<EngineState> engines, long nowMs) {
    if (engines.stream().noneMatch(engine -> engine.pace().isReported())) {
      return EQUAL;
    }
    double[] known =
        engines.stream()
            .map(EngineState::pace)
            .filter(EnginePace::hasSamples)
            .mapToDouble(EnginePace::msPerEvent)
            .sorted()
            .toArray();
    return known.length == 0 ? EQUAL : new ServicePace(known[(known.length - 1) / 2], nowMs);
  }

  /** Whether engines are told apart by their pace. */
  public boolean isUneven() {
    return medianMsPerEvent > 0;
  }

  /** How many times as long as usual work takes at an engine in the long run. */
  public double relativePace(EngineState engine) {
    if (!isUneven()) {
      return 1;
    }
    EnginePace pace = engine.pace();
    double weight = pace.weight(nowMs);
    double multiple = pace.msPerEvent() / medianMsPerEvent;
    double likely = (multiple * weight + PRIOR_STREAMS) / (weight + PRIOR_STREAMS);
    return Math.max(MIN_RELATIVE_PACE, Math.min(MAX_RELATIVE_PACE, likely));
  }

  /** How many times as long as usual work takes at an engine at this moment. */
  public double currentRelativePace(EngineState engine) {
    return isUneven() ? relativePace(engine) * engine.pace().currentFactor(nowMs) : 1;
  }

  /** Whether an engine takes so much longer than usual that online requests avoid it. */
  public boolean isSlow(EngineState engine) {
    return relativePace(engine) >= SLOW_THRESHOLD;
  }
}
