package io.pathdeck.fleet.topology;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions that may serve and store a request.
 *
 * @param anywhere whether all regions may
 * @param regions the regions that may if {@code anywhere} is false; empty: none may
 */
public record AllowedRegions(boolean anywhere, Set<String> regions) {
  /** All regions may serve the request. */
  public static final AllowedRegions ANYWHERE = new AllowedRegions(true, Set.of());

  /** No region may serve the request. */
  public static final AllowedRegions NOWHERE = new AllowedRegions(false, Set.of());

  public AllowedRegions {
    regions = Set.copyOf(regions);
  }

  /** Reads the regions of a route or tenant, which states none if all are allowed. */
  public static AllowedRegions of(List<String> stated) {
    return stated.isEmpty() ? ANYWHERE : new AllowedRegions(false, Set.copyOf(stated));
  }

  /** Returns the regions that are allowed by both. */
  public AllowedRegions and(AllowedRegions other) {
    if (anywhere) {
      return other;
    }
    if (other.anywhere) {
      return this;
    }
    Set<String> common = new TreeSet<>(regions);
    common.retainAll(other.regions);
    return new AllowedRegions(false, common);
  }

  public boolean allows(String region) {
    return anywhere || regions.contains(region);
  }

  /** Whether all of these regions are allowed. */
  public boolean allowsAll(Collection<String> others) {
    return anywhere || regions.containsAll(others);
  }

  /** Whether no region may serve the request. */
  public boolean allowsNone() {
    return !anywhere && regions.isEmpty();
  }
}
