package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the ready gateways that the directory lists for callers.
 *
 * <p>A gateway that serves few requests runs code that the JIT compiler has not optimized, and
 * learns of engine load late. Its first 300 requests cost 8 ms of processor time each, later ones 4
 * ms. So only a share of many gateways is selected; the others are ready to replace them. All
 * coordinators use the same order and select the same gateways.
 *
 * <p>Where gateways differ in size, the largest are selected first, and only as many as match the
 * capacity of the usual number of smallest gateways. Callers spread evenly over the selected
 * gateways, so the smallest of them limits their total capacity. Hence small ones are selected only
 * when too few large ones are ready, and then enough of them.
 */
final class GatewaySelector {
  /** A fleet of up to this many gateways needs all of them to tolerate losses. */
  static final int MIN_SELECTED = 6;

  /**
   * Minimum where sizes differ: if two gateways are lost at once, the others have half of the
   * required capacity until callers learn of the replacements.
   */
  static final int MIN_SELECTED_BY_SIZE = 4;

  private static final Comparator<FleetProcess> BY_RANK =
      Comparator.comparingInt(GatewaySelector::rank).thenComparing(FleetProcess::name);

  private static final Comparator<FleetProcess> LARGEST_FIRST =
      Comparator.comparingDouble(FleetProcess::cores).reversed().thenComparing(BY_RANK);

  private final double share;

  /**
   * Creates a selector.
   *
   * @param share fraction of the ready gateways to select if there are many, up to 1
   */
  GatewaySelector(double share) {
    this.share = share;
  }

  /** Selects the same gateways whatever the order of {@code readyGateways}. */
  List<FleetProcess> select(List<FleetProcess> readyGateways) {
    int count = Math.max(MIN_SELECTED, (int) Math.ceil(share * readyGateways.size()));
    if (differInSize(readyGateways)) {
      return selectLargest(readyGateways, Math.min(count, readyGateways.size()));
    }
    return readyGateways.stream().sorted(BY_RANK).limit(count).toList();
  }

  /** Whether the gateways report different numbers of cores; false if any of them reports none. */
  static boolean differInSize(List<FleetProcess> gateways) {
    boolean allSizesKnown =
        gateways.stream().noneMatch(gateway -> gateway.cores() == FleetProcess.CORES_UNKNOWN);
    return allSizesKnown
        && gateways.stream().mapToDouble(FleetProcess::cores).distinct().count() > 1;
  }

  /**
   * Selects the largest gateways, as few as provide the capacity of {@code count} gateways of the
   * smallest size.
   */
  private static List<FleetProcess> selectLargest(List<FleetProcess> readyGateways, int count) {
    List<FleetProcess> sortedGateways = readyGateways.stream().sorted(LARGEST_FIRST).toList();
    double neededCores = count * sortedGateways.get(sortedGateways.size() - 1).cores();
    int selectedCount = Math.min(MIN_SELECTED_BY_SIZE, count);
    while (selectedCount < count
        && selectedCount * sortedGateways.get(selectedCount - 1).cores() < neededCores) {
      selectedCount++;
    }
    return sortedGateways.subList(0, selectedCount);
  }

  /** Returns a hash, so that the selection is spread over machines with sequential names. */
  private static int rank(FleetProcess gateway) {
    int hash = gateway.name().hashCode() * 0x9E3779B9;
    return hash ^ (hash >>> 15);
  }
}
