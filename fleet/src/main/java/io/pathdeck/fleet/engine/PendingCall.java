package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineCall;

/** A call that has not ended, with whoever listens to it; confined to the event loop. */
final class PendingCall implements EngineTransport.Handle {
  private final EngineCall call;
  private final EngineListener listener;
  private EngineConnection connection;
  private boolean over;

  PendingCall(EngineCall call, EngineListener listener) {
    this.call = call;
    this.listener = listener;
  }

  EngineCall call() {
    return call;
  }

  EngineListener listener() {
    return listener;
  }

  boolean isOver() {
    return over;
  }

  void sentOn(EngineConnection carrier) {
    connection = carrier;
  }

  void end() {
    if (!over) {
      over = true;
      listener.onEnd();
    }
  }

  void fail(EngineFailure failure, String reason) {
    if (!over) {
      over = true;
      listener.onFailure(failure, reason);
    }
  }

  @Override
  public void pauseReading() {
    if (!over && connection != null) {
      connection.pauseReading();
    }
  }

  @Override
  public void resumeReading() {
    if (!over && connection != null) {
      connection.resumeReading();
    }
  }

  @Override
  public void cancel() {
    if (!over) {
      over = true;
      if (connection != null) {
        connection.close();
      }
    }
  }
}
