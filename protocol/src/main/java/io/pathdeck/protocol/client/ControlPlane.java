package io.pathdeck.protocol.client;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import java.util.concurrent.CompletableFuture;

/** Commands and reads of the replicated groups, whichever controller leads them. */
public interface ControlPlane {
  /** Replicates and applies a command. */
  CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, Command command, long timeoutMs);

  /** Replicates and applies a command under an identity chosen by the caller. */
  CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, String client, long requestId, Command command, long timeoutMs);

  /** Reads linearizably. */
  CompletableFuture<Result<QueryResult, ControlError>> query(
      int group, Query query, long timeoutMs);

  /** Reports the configuration in use and asks for its lease. */
  CompletableFuture<Result<ConfigurationUpdate, ControlError>> heartbeat(
      ConfigurationHeartbeat heartbeat, long timeoutMs);
}
