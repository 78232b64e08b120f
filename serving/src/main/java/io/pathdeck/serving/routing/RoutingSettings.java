package io.pathdeck.serving.routing;

/**
 * Constants of the routing decisions.
 *
 * @param maxAttempts the most attempts of one request
 * @param maxInFlightPerEngine the most online requests of this node on one engine
 * @param candidateCount how many engines of a service a node uses when there are many
 * @param packingLoadLimit up to which pressure an engine is filled before the next one is used
 * @param affinityLoadFactor how far above the average an engine's load may be for prefix affinity
 * @param spillOverLoadDifference by how many requests the best engine of another zone must be less
 *     loaded
 * @param ejectAfterFailures consecutive failures that eject an engine
 * @param minEjectionMs the first ejection's length; it doubles with each further one
 * @param maxEjectionMs the longest ejection
 * @param retryBudgetRatio retries allowed per request, over time
 * @param retryBudgetBurst retries allowed at once
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
  /** The settings of production. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(4, 96, 16, 8, 1.25, 3, 3, 1_000, 30_000, 0.2, 50);
}
