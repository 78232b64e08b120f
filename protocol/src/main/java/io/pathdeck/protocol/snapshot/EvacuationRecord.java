package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.fleet.EvacuatedZones;

/** The evacuated zones; a snapshot without this record has none. */
public record EvacuationRecord(EvacuatedZones evacuatedZones) {}
