package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.EvacuatedZones;

/** The evacuated zones that are held after a {@link SetZoneEvacuated}. */
public record EvacuatedZonesHeld(EvacuatedZones evacuatedZones) implements CommandResult {}
