package io.pathdeck.dispatch;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.EngineLoad;

/** An event for the dispatch duty. */
public sealed interface DispatchEvent {
  /** A lease call ended. */
  record Leased(int partition, String service, Result<CommandResult, ControlError> result)
      implements DispatchEvent {}

  /** A backlog read ended. */
  record BacklogRead(int partition, String service, Result<QueryResult, ControlError> result)
      implements DispatchEvent {}

  /** A commit of results ended. */
  record Committed(int partition, Result<CommandResult, ControlError> result)
      implements DispatchEvent {}

  /** A renewal of leases ended. */
  record Renewed(int partition, Result<CommandResult, ControlError> result)
      implements DispatchEvent {}

  /** An item's response is complete. */
  record Completed(ItemKey item, int attempt) implements DispatchEvent {}

  /** An item's attempt failed. */
  record Failed(ItemKey item, int attempt, AttemptFailure failure) implements DispatchEvent {}

  /** An engine reported its load. */
  record LoadReported(String engine, EngineLoad load) implements DispatchEvent {}
}
