package io.pathdeck.protocol.fleet;

/** What a process of the fleet does. */
public enum FleetRole {
  /** Forwards callers' requests to engines. */
  GATEWAY,
  /** Keeps configuration and membership. */
  COORDINATOR,
  /** Keeps batch jobs and runs their items. */
  STORE
}
