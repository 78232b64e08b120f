package io.pathdeck.fleet.engine;

import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits the requests of a route among its services by smooth weighted round-robin: each target
 * gains credit in proportion to its weight, and the one with the most credit is chosen.
 */
public final class TrafficSplit {
  private final Map<String, double[]> credits = new HashMap<>();

  /** Returns the service for the next request of the route. */
  public String next(RouteSpec route) {
    List<RouteTarget> targets = route.targets();
    if (targets.size() == 1) {
      return targets.get(0).service();
    }
    double[] credit =
        credits.compute(
            route.name(),
            (name, known) ->
                known == null || known.length != targets.size()
                    ? new double[targets.size()]
                    : known);
    double total = targets.stream().mapToInt(RouteTarget::weight).sum();
    int best = -1;
    for (int i = 0; i < credit.length; i++) {
      credit[i] += targets.get(i).weight() / total;
      boolean eligible = targets.get(i).weight() > 0;
      if (eligible && (best < 0 || credit[i] > credit[best])) {
        best = i;
      }
    }
    credit[best] -= 1;
    return targets.get(best).service();
  }
}
