package io.pathdeck.fleet.engine;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.pathdeck.fleet.adapter.EngineCall;
import java.util.concurrent.TimeUnit;

/** A call in progress and its listener; confined to the event loop. */
final class PendingCall implements EngineTransport.Handle {
  private final EngineCall call;
  private final EngineListener listener;
  private final long createdNs = System.nanoTime();
  private EngineConnection connection;
  private ScheduledFuture<?> timeout;
  private boolean done;

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

  /** How long ago the engine was chosen. */
  long ageMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdNs);
  }

  boolean isDone() {
    return done;
  }

  void onSent(EngineConnection usedConnection) {
    connection = usedConnection;
  }

  /** Fails the call if it has not ended within a time. */
  void setTimeout(EventLoop eventLoop, long timeoutMs) {
    timeout = eventLoop.schedule(() -> onTimeout(timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void onTimeout(long timeoutMs) {
    if (!done) {
      cancel();
      listener.onFailure(EngineFailure.BROKEN, "no whole response in " + timeoutMs + " ms");
    }
  }

  void complete() {
    if (!done) {
      finish();
      listener.onEnd();
    }
  }

  void close() {
    if (!done) {
      finish();
      listener.onClose();
    }
  }

  void fail(EngineFailure failure, String reason) {
    if (!done) {
      finish();
      listener.onFailure(failure, reason);
    }
  }

  private void finish() {
    done = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
  }

  @Override
  public void pauseReading() {
    if (!done && connection != null) {
      connection.pauseReading();
    }
  }

  @Override
  public void resumeReading() {
    if (!done && connection != null) {
      connection.resumeReading();
    }
  }

  @Override
  public void cancel() {
    if (!done) {
      finish();
      if (connection != null) {
        connection.close();
      }
    }
  }
}
