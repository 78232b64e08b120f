package io.pathdeck.fleet.topology;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The zones of the fleet and the region of each.
 *
 * <p>Zones that the settings do not name belong to no region. Two of them, or any two zones of a
 * fleet without regions, count as zones of one region.
 */
public final class Topology {
  /** The region of a zone that the settings do not name. */
  public static final String NO_REGION = "";

  /** A fleet whose settings name no zones. */
  public static final Topology UNKNOWN = new Topology(Map.of());

  private final Map<String, String> regionByZone;

  private Topology(Map<String, String> regionByZone) {
    this.regionByZone = Map.copyOf(regionByZone);
  }

  /** Creates the topology of a fleet. */
  public static Topology of(Map<String, String> regionByZone) {
    return new Topology(regionByZone);
  }

  /** Returns the region of a zone, or {@link #NO_REGION}. */
  public String regionOf(String zone) {
    return regionByZone.getOrDefault(zone, NO_REGION);
  }

  public boolean hasZone(String zone) {
    return regionByZone.containsKey(zone);
  }

  public Set<String> zones() {
    return regionByZone.keySet();
  }

  /** Returns the regions in alphabetical order. */
  public Set<String> regions() {
    return new TreeSet<>(regionByZone.values());
  }

  /** Whether the settings name zones of more than one region. */
  public boolean hasSeveralRegions() {
    return regions().size() > 1;
  }

  public ZoneDistance distance(String from, String to) {
    if (from.equals(to)) {
      return ZoneDistance.SAME_ZONE;
    }
    return regionOf(from).equals(regionOf(to))
        ? ZoneDistance.SAME_REGION
        : ZoneDistance.OTHER_REGION;
  }

  /** Whether all of these zones belong to one region. */
  public boolean isOneRegion(Collection<String> zones) {
    return zones.stream().map(this::regionOf).distinct().count() <= 1;
  }
}
