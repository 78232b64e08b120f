package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the ready gateways that the directory lists for callers.
 *
 * <p>A gateway that serves few requests runs cold code and learns of engine load late: its first
 * 300 requests take 8 ms of processor time each, later ones 4 ms. So only a share of many gateways
 * is selected; the others are ready to replace them. All coordinators use the same order and select
 * the same gateways.
 *
 * <p>Where gateways differ in size, the largest are selected first, and only as many as match the
 * capacity of the usual number of smallest gateways. Callers spread evenly over the selected
 * gateways, so the smallest of them limits their total capacity. Hence small ones are selected only
 * when too few large ones are ready, and then enough of them.
 */
final class GatewaySelector {
  /** Lower limit: a small fleet needs all its gateways to tolerate losses. */
  static final int MIN_SELECTED = 6;

  /**
   * Lower limit where sizes differ: if two gateways are lost at once, the others have half of the
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
   * @param share fraction of the ready gateways to select where there are many, up to 1
   */
  GatewaySelector(double share) {
    this.share = share;
  }

  /** Selects from the {@code ready} gateways, independent of their order. */
  List<FleetProcess> select(List<FleetProcess> ready) {
    int count = Math.max(MIN_SELECTED, (int) Math.ceil(share * ready.size()));
    if (differInSize(ready)) {
      return selectLargest(ready, Math.min(count, ready.size()));
    }
    return ready.stream().sorted(BY_RANK).limit(count).toList();
  }

  /** Whether the gateways report different sizes; false if any of them reports none. */
  static boolean differInSize(List<FleetProcess> gateways) {
    boolean allKnown =
        gateways.stream().noneMatch(gateway -> gateway.cores() == FleetProcess.CORES_UNKNOWN);
    return allKnown && gateways.stream().mapToDouble(FleetProcess::cores).distinct().count() > 1;
  }

  /**
   * Selects the fewest of the largest gateways with the capacity of {@code count} of the smallest.
   */
  private static List<FleetProcess> selectLargest(List<FleetProcess> ready, int count) {
    List<FleetProcess> sorted = ready.stream().sorted(LARGEST_FIRST).toList();
    double neededCores = count * sorted.get(sorted.size() - 1).cores();
    int selected = Math.min(MIN_SELECTED_BY_SIZE, count);
    while (selected < count && selected * sorted.get(selected - 1).cores() < neededCores) {
      selected++;
    }
    return sorted.subList(0, selected);
  }

  /** Spreads the selection over machines with sequential names. */
  private static int rank(FleetProcess gateway) {
    int hash = gateway.name().hashCode() * 0x9E3779B9;
    return hash ^ (hash >>> 15);
  }
}
