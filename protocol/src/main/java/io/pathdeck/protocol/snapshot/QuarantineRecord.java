package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.fleet.QuarantineList;

/** The requests in quarantine, the oldest first. */
public record QuarantineRecord(QuarantineList quarantine) {}
