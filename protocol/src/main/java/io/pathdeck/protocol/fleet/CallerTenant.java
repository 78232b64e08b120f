package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * A tenant whose callers prove themselves by keys.
 *
 * @param keyDigests the digests of its keys under the salt of their {@link RouteTable}
 * @param priority 0 is served first; goes before the priority of a route
 * @param requestsPerSecond the steady rate of its requests over all gateways; 0: no limit
 * @param burst how many requests may come beyond the rate
 * @param allowedRegions the regions that may serve and store its requests; empty: all
 */
public record CallerTenant(
    String name,
    List<String> keyDigests,
    int priority,
    double requestsPerSecond,
    double burst,
    List<String> allowedRegions) {
  private static final double MILLIS_PER_SECOND = 1_000;

  public CallerTenant {
    keyDigests = new ArrayList<>(keyDigests);
    allowedRegions = new ArrayList<>(allowedRegions);
  }

  /** A tenant whose requests all regions may serve. */
  public CallerTenant(
      String name, List<String> keyDigests, int priority, double requestsPerSecond, double burst) {
    this(name, keyDigests, priority, requestsPerSecond, burst, List.of());
  }

  /** Whether the rate of its requests is limited. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }

  /** The most requests in any span of {@code windowMs}. */
  public double maxRequestsIn(long windowMs) {
    return requestsPerSecond * windowMs / MILLIS_PER_SECOND + burst;
  }
}
