package io.pathdeck.serving.routing;

/**
 * Parameters of routing decisions.
 *
 * @param maxAttempts the maximum number of attempts per request
 * @param maxInFlightPerEngine the maximum number of online requests of this node on one engine
 * @param candidateCount the maximum number of engines per service that a node uses
 * @param packingLoadLimit the load, counting prefills twice, from which the next engine is used
 * @param affinityLoadFactor the maximum load for prefix affinity, as a multiple of the average
 * @param spillOverLoadDifference the difference in requests from which other zones are used
 * @param ejectAfterFailures the number of consecutive failures that eject an engine
 * @param minEjectionMs the duration of the first ejection, doubled for each further one
 * @param maxEjectionMs the maximum duration of an ejection
 * @param retryBudgetRatio the number of retries allowed per request on average
 * @param retryBudgetBurst the maximum number of retries in a burst
 */
public record RoutingSettings(
    int maxAttempts,
    int maxInFlightPerEngine,
    int candidateCount,
    int packingLoadLimit,
    double affinityLoadFactor,
    int spillOverLoadDifference,
    int ejectAfterFailures,
    long minEjectionMs,
    long maxEjectionMs,
    double retryBudgetRatio,
    double retryBudgetBurst) {
  /** The production settings. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(4, 96, 16, 8, 1.25, 3, 3, 1_000, 30_000, 0.2, 50);
}
