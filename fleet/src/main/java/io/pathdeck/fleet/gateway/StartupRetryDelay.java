package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.member.StartProgress;

/**
 * When callers that a gateway refuses at its start should come back.
 *
 * <p>A caller that comes back too early is refused again, and one that is told a longer time than
 * it may wait comes back when it likes. All callers of a fleet that starts are refused within a
 * second or two, so their returns are spread.
 */
final class StartupRetryDelay {
  /** How long after its start a gateway has usually heard from the coordinators. */
  static final long TYPICAL_STARTUP_MS = 1_400;

  /** The longest wait of a replica before it campaigns; most elections are over by then. */
  static final long MAX_ELECTION_TIMEOUT_MS = 1_200;

  /** A read of the list of engines and two reports of this gateway. */
  static final long ENGINE_LIST_MS = 200;

  /** The least time to come back while no leader is heard: some heartbeats of a new leader. */
  static final long MIN_DELAY_MS = 300;

  /** Over how long the returns are spread. */
  static final long JITTER_MS = 600;

  /** Callers wait for a return no longer than this part of the time that they have left. */
  private static final long DEADLINE_DIVISOR = 3;

  private StartupRetryDelay() {}

  /**
   * The time after which to come back.
   *
   * @param deadlineMs how long the caller waits in all; 0 when it did not say
   * @param random from 0 to 1, different for each caller
   */
  static long retryAfterMs(StartProgress progress, long deadlineMs, double random) {
    long expectedMs = expectedMs(progress);
    long latestMs = expectedMs + JITTER_MS;
    if (deadlineMs > 0) {
      latestMs = Math.min(latestMs, Math.max(1, deadlineMs / DEADLINE_DIVISOR));
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
