package io.pathdeck.protocol.client;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.transport.TransportError;
import java.util.concurrent.CompletableFuture;

/** The way to one controller. */
public interface ControllerEndpoint {
  /** Sends a request; the future completes with the reply or a typed error. */
  CompletableFuture<Result<Message, TransportError>> request(Message message, long timeoutMs);
}
