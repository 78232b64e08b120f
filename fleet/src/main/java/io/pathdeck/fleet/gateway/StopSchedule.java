package io.pathdeck.fleet.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The instants of a planned stop, by {@link System#nanoTime}.
 *
 * @param refuseFromNs from when on new requests are refused
 * @param endNs when the requests still in progress are ended
 */
record StopSchedule(long refuseFromNs, long endNs) {
  /** The schedule of a stop that was asked for at {@code beginNs}. */
  static StopSchedule beginningAt(long beginNs, GatewaySettings settings) {
    long serveMs = Math.min(settings.minDrainMs(), settings.drainMs());
    return new StopSchedule(
        beginNs + TimeUnit.MILLISECONDS.toNanos(serveMs),
        beginNs + TimeUnit.MILLISECONDS.toNanos(settings.drainMs()));
  }

  /** The time until new requests are refused; 0 if they are. */
  long serveLeftMs(long nowNs) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(refuseFromNs - nowNs));
  }

  /** The time until the requests in progress are ended; 0 if it is over. */
  long leftMs(long nowNs) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNs - nowNs));
  }
}
