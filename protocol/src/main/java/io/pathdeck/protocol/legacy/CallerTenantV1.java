package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.CallerTenant;
import java.util.List;

/** A {@link CallerTenant} without allowed regions. */
public record CallerTenantV1(
    String name, List<String> keyDigests, int priority, double requestsPerSecond, double burst) {
  /** Converts to the current form. */
  CallerTenant toCurrent() {
    return new CallerTenant(name, keyDigests, priority, requestsPerSecond, burst);
  }
}
