package io.pathdeck.protocol.client;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;

/** The time by which a client measures deadlines and delays its retries. */
public interface RetryTimer {
  /** The monotonic time. */
  long nowNs();

  /** Runs an action later. */
  void schedule(Runnable action, long delayMs);

  /** A timer on the machine's clock. */
  static RetryTimer on(EventLoopGroup eventLoops) {
    return new RetryTimer() {
      @Override
      public long nowNs() {
        return System.nanoTime();
      }

      @Override
      public void schedule(Runnable action, long delayMs) {
        eventLoops.next().schedule(action, delayMs, TimeUnit.MILLISECONDS);
      }
    };
  }
}
