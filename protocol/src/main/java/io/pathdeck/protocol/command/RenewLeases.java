package io.pathdeck.protocol.command;

import java.util.List;

/** Extends leases and asks which of them were revoked. */
public record RenewLeases(String dispatcherId, List<Long> leaseIds, long leaseMs)
    implements JobsCommand {}
