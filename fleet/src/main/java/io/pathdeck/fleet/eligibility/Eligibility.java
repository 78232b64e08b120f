package io.pathdeck.fleet.eligibility;

/** Whether an engine may get a request now, and if not, the first reason why. */
public enum Eligibility {
  ELIGIBLE,
  /** The request was already sent there. */
  ALREADY_TRIED,
  /** The engine has left, is leaving or is down. */
  OUT_OF_SERVICE,
  /** An operator has evacuated the engine's zone. */
  ZONE_EVACUATED,
  /** The route or the tenant does not allow the engine's region. */
  REGION_NOT_ALLOWED,
  /** The engine is cold, and this process may send it no more requests for the moment. */
  COLD_LIMIT_REACHED
}
