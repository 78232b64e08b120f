package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.ItemRef;
import java.util.List;

/** Returns leased items that were not run. */
public record ReleaseItems(String dispatcherId, long leaseId, List<ItemRef> items)
    implements JobsCommand {}
