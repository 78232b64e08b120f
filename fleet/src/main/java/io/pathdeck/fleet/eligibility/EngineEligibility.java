package io.pathdeck.fleet.eligibility;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;

/**
 * Decides whether an engine may get a request now: the only place that does, for first sends,
 * retries, resumptions, queued requests and items alike. Performs no I/O; confined to one thread.
 */
public final class EngineEligibility {
  private final Topology topology;
  private final ColdStartLimit coldStartLimit;
  private final SoftwareVersions softwareVersions = new SoftwareVersions();
  private EvacuatedZones evacuatedZones = EvacuatedZones.NONE;

  public EngineEligibility(Topology topology, ColdStartLimit coldStartLimit) {
    this.topology = topology;
    this.coldStartLimit = coldStartLimit;
  }

  /** Creates the rules of a fleet without regions and cold engines. */
  public static EngineEligibility withoutPlaces() {
    return new EngineEligibility(Topology.UNKNOWN, ColdStartLimit.NONE);
  }

  /** Applies the evacuated zones of the newest view. */
  public void setEvacuatedZones(EvacuatedZones newZones) {
    evacuatedZones = newZones;
  }

  /** The limit of requests to cold engines. */
  public ColdStartLimit coldStartLimit() {
    return coldStartLimit;
  }

  /** The software versions in the list of engines. */
  public SoftwareVersions softwareVersions() {
    return softwareVersions;
  }

  /**
   * Decides for one engine of the request's service.
   *
   * @param isOutOfService whether the engine has left, is leaving or is down
   */
  public Eligibility check(
      EngineInstance engine, boolean isOutOfService, RequestConstraints constraints, long nowMs) {
    if (!constraints.allowsVersionOf(engine)) {
      return Eligibility.OTHER_SOFTWARE_VERSION;
    }
    if (constraints.triedEngineIds().contains(engine.id())) {
      return Eligibility.ALREADY_TRIED;
    }
    if (isOutOfService) {
      return Eligibility.OUT_OF_SERVICE;
    }
    if (evacuatedZones.contains(engine.zone())) {
      return Eligibility.ZONE_EVACUATED;
    }
    if (!constraints.allowedRegions().allows(topology.regionOf(engine.zone()))) {
      return Eligibility.REGION_NOT_ALLOWED;
    }
    if (constraints.beginsStream() && !softwareVersions.isSettled(engine)) {
      return Eligibility.SOFTWARE_VERSION_NOT_SETTLED;
    }
    return coldStartLimit.allows(engine, nowMs)
        ? Eligibility.ELIGIBLE
        : Eligibility.COLD_LIMIT_REACHED;
  }
}
