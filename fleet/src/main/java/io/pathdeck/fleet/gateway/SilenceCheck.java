package io.pathdeck.fleet.gateway;

import java.util.ArrayList;
import java.util.Set;

/**
 * Checks the requests in progress for silent engines; confined to the event loop.
 *
 * <p>A check that comes late shows that the process stood still. What engines sent meanwhile may
 * not have been read yet, so this check is left to the next one, before which the event loop reads.
 */
final class SilenceCheck {
  /** How often the check runs. */
  static final long INTERVAL_MS = 100;

  private static final long MAX_GAP_MS = 2 * INTERVAL_MS;

  private final Set<RequestForwarder> requests;
  private long lastMs;
  private boolean skippedLast;

  SilenceCheck(Set<RequestForwarder> requests, long nowMs) {
    this.requests = requests;
    this.lastMs = nowMs;
  }

  void run(long nowMs) {
    boolean isLate = nowMs - lastMs > MAX_GAP_MS;
    lastMs = nowMs;
    skippedLast = isLate && !skippedLast;
    if (!skippedLast) {
      new ArrayList<>(requests).forEach(request -> request.checkSilence(nowMs));
    }
  }
}
