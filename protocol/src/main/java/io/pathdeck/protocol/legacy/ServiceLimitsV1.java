package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.ServiceLimits;

/** A {@link ServiceLimits} without the limits of cold engines. */
public record ServiceLimitsV1(String name, int maxConnections, int slots, long memoryTokens) {
  /** Converts to the current form. */
  ServiceLimits toCurrent() {
    return new ServiceLimits(name, maxConnections, slots, memoryTokens);
  }
}
