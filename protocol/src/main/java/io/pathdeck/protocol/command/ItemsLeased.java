package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.LeasedItem;
import java.util.List;

/** The items leased to the dispatcher; none when nothing waits. */
public record ItemsLeased(long leaseId, List<LeasedItem> items) implements CommandResult {}
