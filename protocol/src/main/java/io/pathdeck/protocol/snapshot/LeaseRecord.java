package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.model.ItemRef;
import java.util.List;

/** A lease in a snapshot. */
public record LeaseRecord(
    long leaseId, String dispatcherId, long expiresAtMs, List<ItemRef> items) {}
