package io.pathdeck.dispatch;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CommitResults;
import io.pathdeck.protocol.command.RenewLeases;
import io.pathdeck.protocol.model.ItemResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Commits results to one jobs partition and renews its leases. At most one commit and one renewal
 * are pending; results are kept until their commit is confirmed.
 */
final class PartitionClient {
  private static final int MAX_RESULTS_PER_COMMIT = 256;
  private static final long CALL_TIMEOUT_MS = 10_000;
  private static final long RENEW_INTERVAL_MS = 500;

  private final int partition;
  private final String dispatcherId;
  private final long leaseMs;
  private final ControlPlane controllers;
  private final Consumer<DispatchEvent> events;
  private final List<ItemResult> uncommitted = new ArrayList<>();
  private int commitSize;
  private boolean renewalPending;
  private long nextRenewMs;

  PartitionClient(
      int partition,
      String dispatcherId,
      long leaseMs,
      ControlPlane controllers,
      Consumer<DispatchEvent> events) {
    this.partition = partition;
    this.dispatcherId = dispatcherId;
    this.leaseMs = leaseMs;
    this.controllers = controllers;
    this.events = events;
  }

  void addResult(ItemResult result) {
    uncommitted.add(result);
  }

  boolean hasUncommitted() {
    return !uncommitted.isEmpty();
  }

  /** Sends uncommitted results unless a commit is pending. */
  void commit() {
    if (commitSize > 0 || uncommitted.isEmpty()) {
      return;
    }
    commitSize = Math.min(MAX_RESULTS_PER_COMMIT, uncommitted.size());
    List<ItemResult> batch = new ArrayList<>(uncommitted.subList(0, commitSize));
    controllers
        .propose(partition, new CommitResults(dispatcherId, batch), CALL_TIMEOUT_MS)
        .thenAccept(result -> events.accept(new DispatchEvent.Committed(partition, result)));
  }

  /** Handles the end of a commit. A failed one is resent safely, as the first result is kept. */
  void onCommitted(Result<CommandResult, ControlError> result) {
    if (result.isOk()) {
      uncommitted.subList(0, commitSize).clear();
    }
    commitSize = 0;
  }

  void renew(List<Long> leaseIds, long nowMs) {
    if (renewalPending || leaseIds.isEmpty() || nowMs < nextRenewMs) {
      return;
    }
    renewalPending = true;
    nextRenewMs = nowMs + RENEW_INTERVAL_MS;
    controllers
        .propose(
            partition,
            new RenewLeases(dispatcherId, new ArrayList<>(leaseIds), leaseMs),
            CALL_TIMEOUT_MS)
        .thenAccept(result -> events.accept(new DispatchEvent.Renewed(partition, result)));
  }

  void onRenewed() {
    renewalPending = false;
  }
}
