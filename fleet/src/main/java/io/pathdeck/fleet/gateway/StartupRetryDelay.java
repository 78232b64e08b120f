package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.member.StartProgress;

/**
 * Computes when callers that are refused during the gateway's startup should retry.
 *
 * <p>A caller that retries too early is refused again, and one whose remaining time is shorter than
 * the delay ignores it. When a fleet starts, all callers are refused within a second or two, so
 * their retries are spread.
 */
final class StartupRetryDelay {
  /** Typical time from the start of a gateway to the first response of a coordinator. */
  static final long TYPICAL_STARTUP_MS = 1_400;

  /** The longest election timeout of a replica; most elections are over by then. */
  static final long MAX_ELECTION_TIMEOUT_MS = 1_200;

  /** Time to read the engine list and send two reports of this gateway. */
  static final long ENGINE_LIST_MS = 200;

  /** Minimum delay while no coordinator or leader is known; several heartbeats of a new leader. */
  static final long MIN_DELAY_MS = 300;

  static final long JITTER_MS = 600;

  /** Callers ignore a retry delay longer than their timeout divided by this. */
  private static final long TIMEOUT_DIVISOR = 3;

  private StartupRetryDelay() {}

  /**
   * Returns the delay until the retry.
   *
   * @param progress the phase of the startup and how long it has lasted
   * @param callerTimeoutMs how long the caller waits in total; 0 if unknown
   * @param random from 0 to 1, different for each caller
   */
  static long retryAfterMs(StartProgress progress, long callerTimeoutMs, double random) {
    long expectedMs = expectedMs(progress);
    long latestMs = expectedMs + JITTER_MS;
    if (callerTimeoutMs > 0) {
      latestMs = Math.min(latestMs, Math.max(1, callerTimeoutMs / TIMEOUT_DIVISOR));
    }
    long earliestMs = Math.min(expectedMs, latestMs - latestMs / 4);
    return earliestMs + Math.round(random * (latestMs - earliestMs));
  }

  private static long expectedMs(StartProgress progress) {
    return switch (progress.phase()) {
      case NO_COORDINATOR -> Math.max(MIN_DELAY_MS, TYPICAL_STARTUP_MS - progress.ageMs());
      case NO_LEADER -> Math.max(MIN_DELAY_MS, MAX_ELECTION_TIMEOUT_MS - progress.ageMs());
      case LIST_MISSING -> ENGINE_LIST_MS;
    };
  }
}
