package io.pathdeck.fleet.coordinator;

import io.pathdeck.protocol.fleet.FleetProcess;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds jobs groups that would lose their quorum with one zone, where the loss of a zone is to be
 * tolerated.
 */
final class ZoneBalance {
  private final int targetSize;
  private final boolean zonesMayBeLost;

  /**
   * Creates the rules.
   *
   * @param targetSize number of members that a group should have
   * @param toleratedZones number of zones that may be lost at once
   */
  ZoneBalance(int targetSize, int toleratedZones) {
    this.targetSize = targetSize;
    this.zonesMayBeLost = toleratedZones > 0;
  }

  /**
   * Returns a complete group that would lose its quorum with one zone because it has too many
   * members there, and that lacks members of {@code zone}. Such a group arises when members of a
   * lost zone were replaced from other zones.
   */
  Optional<Integer> groupThatLacksZone(Map<Integer, List<FleetProcess>> members, String zone) {
    if (!zonesMayBeLost) {
      return Optional.empty();
    }
    return members.keySet().stream()
        .filter(group -> members.get(group).size() >= targetSize)
        .filter(group -> countInZone(members.get(group), zone) < maxPerZone())
        .filter(group -> exceedsZoneLimit(members.get(group)))
        .findFirst();
  }

  private static boolean exceedsZoneLimit(List<FleetProcess> stores) {
    int quorum = stores.size() / 2 + 1;
    return stores.stream()
        .map(FleetProcess::zone)
        .distinct()
        .anyMatch(zone -> stores.size() - countInZone(stores, zone) < quorum);
  }

  /** The members of one zone that a group of the target size may lose. */
  private int maxPerZone() {
    return (targetSize - 1) / 2;
  }

  private static int countInZone(List<FleetProcess> stores, String zone) {
    return (int) stores.stream().filter(store -> store.zone().equals(zone)).count();
  }
}
