package io.pathdeck.fleet.quarantine;

import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.protocol.message.Message;
import java.util.concurrent.CompletableFuture;

/** Sends messages to the leading coordinator. */
interface LeaderCalls {
  /** Sends a message; the future completes slightly later than {@code timeoutMs} at most. */
  CompletableFuture<Result<Message, GroupCallError>> call(
      Message message, long timeoutMs, long attemptTimeoutMs);
}
