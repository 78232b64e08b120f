package io.pathdeck.fleet.coordinator;

import io.pathdeck.fleet.adapter.DirectoryProtocol;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.RouteSpec;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides which gateways a caller is told of: those of its zone, else those of its region, else all
 * that may serve the host.
 *
 * <p>A host whose routes state allowed regions is served by gateways there. Only if none of them is
 * ready, the caller is told of gateways in its own region, and of any others last: these may still
 * forward a request that the caller itself brought to them.
 */
final class GatewayLocator {
  private static final int MIN_GATEWAYS_IN_ZONE = 2;
  private static final int MIN_GATEWAYS_IN_REGION = 2;

  private final GatewaySelector selector;
  private final Topology topology;

  GatewayLocator(GatewaySelector selector, Topology topology) {
    this.selector = selector;
    this.topology = topology;
  }

  /** Returns the selected gateways for a caller; empty if none is ready. */
  List<FleetProcess> locate(FleetView view, DirectoryProtocol.Query query) {
    List<FleetProcess> ready =
        view.withRole(FleetRole.GATEWAY).stream().filter(FleetProcess::ready).toList();
    String callerRegion = regionOf(query);
    List<FleetProcess> eligible = eligible(ready, allowedRegions(view, query.host()), callerRegion);
    List<FleetProcess> inZone = filter(eligible, gateway -> gateway.zone().equals(query.zone()));
    if (inZone.size() >= MIN_GATEWAYS_IN_ZONE) {
      return selector.select(inZone);
    }
    List<FleetProcess> inRegion = filter(eligible, gateway -> isIn(gateway, callerRegion));
    return selector.select(inRegion.size() >= MIN_GATEWAYS_IN_REGION ? inRegion : eligible);
  }

  private List<FleetProcess> eligible(
      List<FleetProcess> ready, AllowedRegions allowedRegions, String callerRegion) {
    List<FleetProcess> allowed =
        filter(ready, gateway -> allowedRegions.allows(topology.regionOf(gateway.zone())));
    if (!allowed.isEmpty()) {
      return allowed;
    }
    List<FleetProcess> inCallersRegion = filter(ready, gateway -> isIn(gateway, callerRegion));
    return inCallersRegion.isEmpty() ? ready : inCallersRegion;
  }

  /** Returns the regions that all routes of the host allow. */
  private static AllowedRegions allowedRegions(FleetView view, String host) {
    AllowedRegions allowed = AllowedRegions.ANYWHERE;
    if (view.routes() == null) {
      return allowed;
    }
    for (RouteSpec route : view.routes().routes()) {
      if (route.host().equals(host)) {
        allowed = allowed.and(AllowedRegions.of(route.allowedRegions()));
      }
    }
    return allowed;
  }

  private String regionOf(DirectoryProtocol.Query query) {
    return topology.hasZone(query.zone()) ? topology.regionOf(query.zone()) : query.region();
  }

  private boolean isIn(FleetProcess gateway, String region) {
    return topology.regionOf(gateway.zone()).equals(region);
  }

  private static List<FleetProcess> filter(
      List<FleetProcess> gateways, Predicate<FleetProcess> condition) {
    return gateways.stream().filter(condition).toList();
  }
}
