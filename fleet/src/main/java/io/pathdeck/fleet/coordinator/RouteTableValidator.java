package io.pathdeck.fleet.coordinator;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.ServiceLimits;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Validates the configurations that operators send. */
final class RouteTableValidator {
  private RouteTableValidator() {}

  /**
   * Returns the first problem of the configuration; empty if it is valid.
   *
   * @param topology the regions that routes and tenants may name; any, if it has none
   */
  static Optional<String> findProblem(RouteTable table, Topology topology) {
    Set<String> services =
        table.services().stream().map(ServiceLimits::name).collect(Collectors.toSet());
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (RouteSpec route : table.routes()) {
      Optional<String> problem =
          findProblem(route, services)
              .or(() -> findUnknownRegion(route.allowedRegions(), topology));
      if (problem.isPresent()) {
        return problem.map(found -> "route " + route.name() + ": " + found);
      }
      if (!hostsAndPrefixes.add(route.host() + ' ' + route.pathPrefix())) {
        return Optional.of(
            "route " + route.name() + ": another route has the same host and prefix");
      }
    }
    return findTenantProblem(table, topology);
  }

  private static Optional<String> findUnknownRegion(List<String> regions, Topology topology) {
    if (topology.regions().isEmpty()) {
      return Optional.empty();
    }
    return regions.stream()
        .filter(region -> !topology.regions().contains(region))
        .findFirst()
        .map(region -> "unknown region " + region);
  }

  private static Optional<String> findTenantProblem(RouteTable table, Topology topology) {
    Map<String, String> ownerByKeyDigest = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (CallerTenant tenant : table.tenants()) {
      if (!names.add(tenant.name())) {
        return Optional.of("tenant " + tenant.name() + " is declared twice");
      }
      Optional<String> unknownRegion = findUnknownRegion(tenant.allowedRegions(), topology);
      if (unknownRegion.isPresent()) {
        return unknownRegion.map(found -> "tenant " + tenant.name() + ": " + found);
      }
      for (String digest : tenant.keyDigests()) {
        String other = ownerByKeyDigest.putIfAbsent(digest, tenant.name());
        if (other != null && !other.equals(tenant.name())) {
          return Optional.of("tenants " + other + " and " + tenant.name() + " share a key");
        }
      }
    }
    return Optional.empty();
  }

  private static Optional<String> findProblem(RouteSpec route, Set<String> services) {
    long weights = 0;
    for (RouteTarget target : route.targets()) {
      if (!services.contains(target.service())) {
        return Optional.of("unknown service " + target.service());
      }
      if (target.weight() < 0) {
        return Optional.of("a weight below 0");
      }
      weights += target.weight();
    }
    if (weights == 0) {
      return Optional.of("the weights sum to 0");
    }
    if (route.timeoutMs() <= 0) {
      return Optional.of("the timeout must be above 0");
    }
    boolean hasSlashes = route.pathPrefix().startsWith("/") && route.pathPrefix().endsWith("/");
    return hasSlashes ? Optional.empty() : Optional.of("a prefix begins and ends with a slash");
  }
}
