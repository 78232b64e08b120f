package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import java.util.Comparator;
import java.util.List;

/**
 * Which of the ready gateways callers are told of.
 *
 * <p>A gateway that serves few requests runs cold code: its first 300 requests cost 8 ms of
 * processor time each, later ones 4 ms, and it hears of each engine's load seldom. So only a share
 * of many gateways is named; the others are ready to take their place. All coordinators order the
 * gateways alike and name the same ones.
 */
final class GatewayNaming {
  /** So many are named in any case: small fleets need all of theirs to bear losses. */
  static final int MIN_NAMED = 6;

  private final double share;

  /**
   * Names gateways.
   *
   * @param share the part of the ready gateways that is named where there are many, up to 1
   */
  GatewayNaming(double share) {
    this.share = share;
  }

  /** The gateways of {@code ready} that are named, the same whatever their order. */
  List<FleetProcess> choose(List<FleetProcess> ready) {
    int count = Math.max(MIN_NAMED, (int) Math.ceil(share * ready.size()));
    return ready.stream()
        .sorted(Comparator.comparingInt(GatewayNaming::rank).thenComparing(FleetProcess::name))
        .limit(count)
        .toList();
  }

  /** Spreads the named ones over machines with names in sequence. */
  private static int rank(FleetProcess gateway) {
    int hash = gateway.name().hashCode() * 0x9E3779B9;
    return hash ^ (hash >>> 15);
  }
}
