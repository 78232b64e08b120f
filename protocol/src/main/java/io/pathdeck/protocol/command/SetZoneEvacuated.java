package io.pathdeck.protocol.command;

/**
 * The engines of a zone are to get nothing new, or may get requests again.
 *
 * @param evacuated whether the zone is evacuated from now on
 */
public record SetZoneEvacuated(String zone, boolean evacuated) implements FleetCommand {}
