package io.pathdeck.fleet.warmup;

import io.pathdeck.protocol.fleet.ServiceLimits;

/**
 * The limit of a service's cold engines: the most requests that one may get in any window.
 *
 * <p>The window is longer than the period of the stated rate. The margin covers requests that leave
 * at different delays after they were counted, for example because a connection had to be opened.
 *
 * @param requests the most requests in a window, from all processes together
 * @param windowMs length of the window
 * @param coldStartMs how long an engine counts as cold unless told otherwise
 */
record ColdRule(int requests, long windowMs, long coldStartMs) {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double WINDOW_MARGIN = 1.1;

  /** Reads the limit of a service that {@linkplain ServiceLimits#limitsColdEngines() has one}. */
  static ColdRule of(ServiceLimits limits) {
    double perSecond = limits.coldRequestsPerSecond();
    int requests = (int) Math.max(1, Math.floor(perSecond));
    double periodMs = MILLIS_PER_SECOND * Math.max(1, 1 / perSecond);
    return new ColdRule(requests, Math.round(periodMs * WINDOW_MARGIN), limits.coldStartMs());
  }
}
