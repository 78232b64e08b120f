package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The zones whose engines must get nothing new.
 *
 * @param version rises with each change
 */
public record EvacuatedZones(long version, List<String> zones) {
  /** No zone was ever evacuated. */
  public static final EvacuatedZones NONE = new EvacuatedZones(0, List.of());

  public EvacuatedZones {
    zones = new ArrayList<>(zones);
  }

  /** Whether the zone's engines must get nothing new. */
  public boolean contains(String zone) {
    return zones.contains(zone);
  }
}
