package io.pathdeck.testkit.sim;

import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.AttemptListener;
import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.engine.EngineLoad;
import io.pathdeck.serving.engine.EngineRequest;

/** One call to a simulated engine: its connection, its timeouts and its end. */
final class SimCall implements EngineClient.Call {
  private static final long WATCH_INTERVAL_MS = 50;

  private final SimFleet fleet;
  private final SimProcess client;
  private final SimEngine engine;
  private final EngineRequest request;
  private final AttemptListener listener;
  private final int clientLife;
  private final int engineLife;
  private final long startedAtMs;
  private long lastEventMs;
  private boolean ended;
  private Runnable cancelAction = () -> {};

  SimCall(
      SimFleet fleet,
      SimProcess client,
      SimEngine engine,
      EngineRequest request,
      AttemptListener listener) {
    this.fleet = fleet;
    this.client = client;
    this.engine = engine;
    this.request = request;
    this.listener = listener;
    this.clientLife = client.life();
    this.engineLife = engine.life();
    this.startedAtMs = fleet.simulation().nowMs();
    this.lastEventMs = startedAtMs;
  }

  EngineRequest request() {
    return request;
  }

  void onCancel(Runnable action) {
    cancelAction = action;
  }

  /** Opens the connection. */
  void open() {
    if (!engine.isAlive()) {
      client.later(1, () -> fail(new AttemptFailure.ConnectFailed("connection refused")));
      return;
    }
    fleet.network().sendInOrder(client.name, engine, engineLife, () -> engine.accept(this));
    watch();
  }

  /** Notices silence, the engine's death, and the death of the client. */
  private void watch() {
    fleet
        .simulation()
        .scheduleMs(
            WATCH_INTERVAL_MS,
            () -> {
              if (ended) {
                return;
              }
              if (client.life() != clientLife || !client.isAlive()) {
                cancel();
                return;
              }
              client.deliver(this::checkTimeouts);
              watch();
            });
  }

  private void checkTimeouts() {
    long nowMs = fleet.simulation().nowMs();
    boolean engineGone = !engine.isAlive() || engine.life() != engineLife;
    if (engineGone && !fleet.network().isCut(engine.name, client.name)) {
      fail(new AttemptFailure.Broken("connection lost"));
    } else if (nowMs - lastEventMs > request.idleTimeoutMs()) {
      fail(new AttemptFailure.Broken("no event in time"));
    } else if (nowMs - startedAtMs > request.totalTimeoutMs()) {
      fail(new AttemptFailure.Broken("not whole in time"));
    }
  }

  @Override
  public void cancel() {
    ended = true;
    if (engine.isAlive() && engine.life() == engineLife) {
      fleet.network().sendInOrder(client.name, engine, engineLife, () -> cancelAction.run());
    }
  }

  // ---- from the engine

  void sendLoad(EngineLoad load) {
    toClient(
        () -> {
          if (!ended) {
            listener.onLoad(load);
          }
        });
  }

  void sendEvents(byte[] events, int tokens) {
    toClient(
        () -> {
          lastEventMs = fleet.simulation().nowMs();
          if (!ended) {
            listener.onEvents(events, tokens);
          } else if (fleet.hasDefect(Defect.LATE_ANSWER_ACCEPTED)) {
            fleet
                .writerOf(request.responseId())
                .ifPresent(writer -> writer.onEvents(events, tokens));
          }
        });
  }

  void sendCompleted() {
    toClient(
        () -> {
          if (!ended) {
            ended = true;
            listener.onCompleted();
          }
        });
  }

  void sendFailure(AttemptFailure failure) {
    toClient(() -> fail(failure));
  }

  void sendBroken(String reason) {
    if (fleet.hasDefect(Defect.SHORT_ANSWER_ACCEPTED)) {
      sendCompleted();
    } else {
      sendFailure(new AttemptFailure.Broken(reason));
    }
  }

  private void toClient(Runnable arrival) {
    fleet.network().sendInOrder(engine.name, client, clientLife, arrival);
  }

  private void fail(AttemptFailure failure) {
    if (ended) {
      return;
    }
    ended = true;
    cancelAction.run();
    boolean hidesRun = failure.mayHaveRun() && fleet.hasDefect(Defect.REFUSED_AFTER_RUN);
    listener.onFailed(hidesRun ? new AttemptFailure.Refused(503, false, 100) : failure);
  }
}
