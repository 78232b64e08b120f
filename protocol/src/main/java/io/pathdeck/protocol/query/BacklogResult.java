package io.pathdeck.protocol.query;

import io.pathdeck.protocol.model.TenantBacklog;
import java.util.List;

/** The waiting work by tenant. */
public record BacklogResult(List<TenantBacklog> tenants) implements QueryResult {}
