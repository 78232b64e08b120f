package io.pathdeck.protocol.snapshot;

import java.util.List;

/** The jobs of one tenant that wait for dispatch, in their turn. Records come in tenants' turn. */
public record QueueRecord(String service, String tenant, List<String> jobIds) {}
