package io.pathdeck.fleet.eligibility;

import io.pathdeck.fleet.topology.AllowedRegions;
import java.util.Set;

/**
 * What restricts the engines that a request may be sent to.
 *
 * @param triedEngineIds the engines that it was already sent to
 * @param allowedRegions the regions that may serve it
 */
public record RequestConstraints(Set<String> triedEngineIds, AllowedRegions allowedRegions) {
  /** Any engine of the service may run the request. */
  public static final RequestConstraints NONE =
      new RequestConstraints(Set.of(), AllowedRegions.ANYWHERE);
}
