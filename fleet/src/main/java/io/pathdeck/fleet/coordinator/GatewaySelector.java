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
 *
 * <p>Where gateways differ in size, larger ones are named first, and as few as bear what the named
 * ones would bear if all had the size of the smallest. Callers spread evenly over the named
 * gateways, so that the smallest of them sets what they bear together: a small one beside large
 * ones gets as many requests as they do. Hence small ones are named only when too few large ones
 * are ready, and then enough of them.
 */
final class GatewaySelector {
  /** So many are named in any case: small fleets need all of theirs to bear losses. */
  static final int MIN_SELECTED = 6;

  /**
   * So many are named in any case where sizes differ: when two of them are lost at once, the others
   * bear half of what is needed, until callers are told of the gateways in their place.
   */
  static final int MIN_SELECTED_BY_SIZE = 4;

  private static final Comparator<FleetProcess> BY_RANK =
      Comparator.comparingInt(GatewaySelector::rank).thenComparing(FleetProcess::name);

  private static final Comparator<FleetProcess> LARGEST_FIRST =
      Comparator.comparingDouble(FleetProcess::cores).reversed().thenComparing(BY_RANK);

  private final double share;

  /**
   * Names gateways.
   *
   * @param share the part of the ready gateways that is named where there are many, up to 1
   */
  GatewaySelector(double share) {
    this.share = share;
  }

  /** The gateways of {@code ready} that are named, the same whatever their order. */
  List<FleetProcess> select(List<FleetProcess> ready) {
    int count = Math.max(MIN_SELECTED, (int) Math.ceil(share * ready.size()));
    if (differInSize(ready)) {
      return selectLargest(ready, Math.min(count, ready.size()));
    }
    return ready.stream().sorted(BY_RANK).limit(count).toList();
  }

  /** Whether the gateways tell sizes that differ; one that tells none cannot be compared. */
  static boolean differInSize(List<FleetProcess> gateways) {
    boolean allTold =
        gateways.stream().noneMatch(gateway -> gateway.cores() == FleetProcess.CORES_UNKNOWN);
    return allTold && gateways.stream().mapToDouble(FleetProcess::cores).distinct().count() > 1;
  }

  /** The fewest of the largest that bear what {@code count} of the smallest size would. */
  private static List<FleetProcess> selectLargest(List<FleetProcess> ready, int count) {
    List<FleetProcess> sorted = ready.stream().sorted(LARGEST_FIRST).toList();
    double neededCores = count * sorted.get(sorted.size() - 1).cores();
    int named = Math.min(MIN_SELECTED_BY_SIZE, count);
    while (named < count && named * sorted.get(named - 1).cores() < neededCores) {
      named++;
    }
    return sorted.subList(0, named);
  }

  /** Spreads the named ones over machines with names in sequence. */
  private static int rank(FleetProcess gateway) {
    int hash = gateway.name().hashCode() * 0x9E3779B9;
    return hash ^ (hash >>> 15);
  }
}
