package io.pathdeck.testkit.sim;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControllerEndpoint;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.transport.TransportError;
import java.util.concurrent.CompletableFuture;

/** The connection of a simulated process to one controller. */
final class SimEndpoint implements ControllerEndpoint {
  private static final long CONNECT_FAILURE_MS = 2;

  private final SimProcess client;
  private final SimController controller;
  private final SimNetwork network;

  SimEndpoint(SimProcess client, SimController controller, SimNetwork network) {
    this.client = client;
    this.controller = controller;
    this.network = network;
  }

  @Override
  public CompletableFuture<Result<Message, TransportError>> request(
      Message message, long timeoutMs) {
    CompletableFuture<Result<Message, TransportError>> outcome = new CompletableFuture<>();
    if (!controller.isAlive()) {
      client.later(
          CONNECT_FAILURE_MS, () -> outcome.complete(Result.err(TransportError.NOT_CONNECTED)));
      return outcome;
    }
    int controllerLife = controller.life();
    int clientLife = client.life();
    network.sendInOrder(
        client.name,
        controller,
        controllerLife,
        () ->
            controller.receive(
                message,
                reply ->
                    network.sendInOrder(
                        controller.name,
                        client,
                        clientLife,
                        () -> outcome.complete(Result.ok(reply)))));
    watchConnection(controllerLife, outcome);
    client.later(timeoutMs, () -> outcome.complete(Result.err(TransportError.TIMED_OUT)));
    return outcome;
  }

  /** A request to a process that died is reported as lost soon after. */
  private void watchConnection(
      int controllerLife, CompletableFuture<Result<Message, TransportError>> outcome) {
    client.later(
        100,
        () -> {
          if (outcome.isDone()) {
            return;
          }
          boolean lost = !controller.isAlive() || controller.life() != controllerLife;
          if (lost && !network.isCut(controller.name, client.name)) {
            outcome.complete(Result.err(TransportError.CONNECTION_LOST));
          } else {
            watchConnection(controllerLife, outcome);
          }
        });
  }
}
