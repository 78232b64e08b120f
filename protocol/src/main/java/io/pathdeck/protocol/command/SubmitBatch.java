package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.BatchItem;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes a batch job; a job that was taken already is acknowledged again.
 *
 * @param tenant whose job it is; empty when the fleet has no tenants
 * @param route the name of the route that the quota belongs to
 * @param maxQueuedTokens the most tokens of the tenant's unfinished items on the route; 0: no limit
 * @param retainMs when an item may be given up, after the submission
 */
public record SubmitBatch(
    String jobId,
    String tenant,
    String route,
    String host,
    List<BatchItem> items,
    int maxAttempts,
    long runTargetMs,
    long retainMs,
    long maxQueuedTokens)
    implements BatchCommand {
  public SubmitBatch {
    items = new ArrayList<>(items);
  }

  /** Returns this submission with other items. */
  public SubmitBatch withItems(List<BatchItem> newItems) {
    return new SubmitBatch(
        jobId, tenant, route, host, newItems, maxAttempts, runTargetMs, retainMs, maxQueuedTokens);
  }
}
