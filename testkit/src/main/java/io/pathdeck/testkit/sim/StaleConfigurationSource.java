package io.pathdeck.testkit.sim;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import java.util.concurrent.CompletableFuture;

/** A planted defect: answers every heartbeat with the first configuration it ever saw. */
final class StaleConfigurationSource implements ControlPlane {
  private final ControlPlane delegate;
  private ConfigurationUpdate first;

  StaleConfigurationSource(ControlPlane delegate) {
    this.delegate = delegate;
  }

  @Override
  public CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, Command command, long timeoutMs) {
    return delegate.propose(group, command, timeoutMs);
  }

  @Override
  public CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, String client, long requestId, Command command, long timeoutMs) {
    return delegate.propose(group, client, requestId, command, timeoutMs);
  }

  @Override
  public CompletableFuture<Result<QueryResult, ControlError>> query(
      int group, Query query, long timeoutMs) {
    return delegate.query(group, query, timeoutMs);
  }

  @Override
  public CompletableFuture<Result<ConfigurationUpdate, ControlError>> heartbeat(
      ConfigurationHeartbeat heartbeat, long timeoutMs) {
    return delegate.heartbeat(heartbeat, timeoutMs).thenApply(result -> result.map(this::stale));
  }

  private ConfigurationUpdate stale(ConfigurationUpdate update) {
    if (first == null && update.delta() != null && update.version() > 0) {
      first = update;
    }
    return first == null ? update : first;
  }
}
