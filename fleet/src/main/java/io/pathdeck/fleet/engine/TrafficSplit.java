package io.pathdeck.fleet.engine;

import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits the requests of a route among its services by smooth weighted round-robin: with each
 * request, every target gains credit in proportion to its weight, and the target with the most
 * credit is chosen and loses one credit.
 */
public final class TrafficSplit {
  private final Map<String, double[]> creditsByRoute = new HashMap<>();

  /** Returns the service for the next request of the route. */
  public String next(RouteSpec route) {
    List<RouteTarget> targets = route.targets();
    if (targets.size() == 1) {
      return targets.get(0).service();
    }
    double[] targetCredits =
        creditsByRoute.compute(
            route.name(),
            (name, known) ->
                known == null || known.length != targets.size()
                    ? new double[targets.size()]
                    : known);
    double total = targets.stream().mapToInt(RouteTarget::weight).sum();
    int bestIndex = -1;
    for (int i = 0; i < targetCredits.length; i++) {
      targetCredits[i] += targets.get(i).weight() / total;
      boolean eligible = targets.get(i).weight() > 0;
      if (eligible && (bestIndex < 0 || targetCredits[i] > targetCredits[bestIndex])) {
        bestIndex = i;
      }
    }
    targetCredits[bestIndex] -= 1;
    return targets.get(bestIndex).service();
  }
}
