package io.pathdeck.fleet.origin;

import io.pathdeck.fleet.eligibility.SoftwareVersions;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The services of which other gateways have been told where each stream of this gateway began:
 * those with several software versions, as far as remembered. Performs no I/O; confined to one
 * thread.
 */
final class ToldServices {
  private final SoftwareVersions softwareVersions;
  private final Set<String> told = new HashSet<>();

  ToldServices(SoftwareVersions softwareVersions) {
    this.softwareVersions = softwareVersions;
  }

  /** Applies a new view; returns the services whose earlier streams have to be told now. */
  Set<String> onChange(Collection<String> services, long nowMs) {
    Set<String> added = new HashSet<>();
    for (String service : services) {
      if (hasSeveralVersions(service, nowMs) && told.add(service)) {
        added.add(service);
      }
    }
    return added;
  }

  /**
   * Whether a stream that has just begun is to be told. One that is not is an earlier one later.
   */
  boolean onStream(String service, long nowMs) {
    boolean isTold = hasSeveralVersions(service, nowMs);
    if (!isTold) {
      told.remove(service);
    }
    return isTold;
  }

  private boolean hasSeveralVersions(String service, long nowMs) {
    return softwareVersions.rememberedVersions(service, nowMs).size() > 1;
  }
}
