package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.EvacuatedZones;

/**
 * The engines of a zone are to get nothing new, or may get requests again. Answered with {@link
 * EvacuatedZonesHeld}.
 *
 * <p>The command has no effect if the evacuated zones have changed since {@code basedOnVersion}:
 * otherwise a copy that the network delivers late could undo an order given in the meantime.
 *
 * @param evacuated whether the zone is evacuated from now on
 * @param basedOnVersion the {@link EvacuatedZones#version()} known to the sender
 */
public record SetZoneEvacuated(String zone, boolean evacuated, long basedOnVersion)
    implements FleetCommand {}
