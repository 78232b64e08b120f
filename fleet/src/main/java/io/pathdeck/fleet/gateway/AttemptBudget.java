package io.pathdeck.fleet.gateway;

import io.pathdeck.protocol.fleet.RouteSpec;

/**
 * Decides whether a request may be offered to another engine, from one question: may it have run?
 *
 * <p>If it did not run, another engine may take it. If it may have, only a repeatable request goes
 * on, and on no more engines than its route allows.
 */
final class AttemptBudget {
  private final boolean repeatable;
  private final int maxRuns;
  private final int maxSends;
  private int possibleRuns;
  private int sends;

  AttemptBudget(RouteSpec route, int maxSends) {
    this.repeatable = route.isRepeatable();
    this.maxRuns = Math.max(1, route.maxAttempts());
    this.maxSends = Math.max(maxSends, maxRuns);
  }

  void onSend() {
    sends++;
    possibleRuns++;
  }

  /** The newest send was refused or never left: it did not run. */
  void onNotRun() {
    possibleRuns--;
  }

  /** Whether the request may be sent again after the newest send has ended. */
  boolean mayRetry() {
    if (sends >= maxSends || possibleRuns >= maxRuns) {
      return false;
    }
    return possibleRuns == 0 || repeatable;
  }

  /** Whether the request may have run on some engine. */
  boolean mayHaveRun() {
    return possibleRuns > 0;
  }

  int sends() {
    return sends;
  }
}
