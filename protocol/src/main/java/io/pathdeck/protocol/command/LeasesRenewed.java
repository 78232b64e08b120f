package io.pathdeck.protocol.command;

import java.util.List;

/** Leases that no longer exist and jobs that were cancelled under the others. */
public record LeasesRenewed(List<Long> lostLeases, List<String> cancelledJobs)
    implements CommandResult {}
