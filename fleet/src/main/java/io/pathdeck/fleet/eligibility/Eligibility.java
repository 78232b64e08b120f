package io.pathdeck.fleet.eligibility;

/** Whether an engine may get a request now, and if not, the first reason why. */
public enum Eligibility {
  ELIGIBLE,
  /** Another software version has begun the stream. */
  OTHER_SOFTWARE_VERSION,
  /** The request was already sent there. */
  ALREADY_TRIED,
  /** The engine has left, is leaving or is down. */
  OUT_OF_SERVICE,
  /** An operator has evacuated the engine's zone. */
  ZONE_EVACUATED,
  /** The route or the tenant does not allow the engine's region. */
  REGION_NOT_ALLOWED,
  /** The engine's software version has joined the service too recently to begin a stream. */
  SOFTWARE_VERSION_NOT_SETTLED,
  /** The engine is cold, and this process may send it no more requests for the moment. */
  COLD_LIMIT_REACHED
}
