package io.pathdeck.fleet.gateway;

import io.pathdeck.protocol.fleet.RouteSpec;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a request may be sent to another engine, based on whether it may have run.
 *
 * <p>A request that did not run may be retried. One that may have run is retried only if it is
 * repeatable, and runs at most as often as its route allows.
 */
final class AttemptBudget {
  private final boolean repeatable;
  private final int maxRuns;
  private final int maxSends;
  private final Set<String> triedEngineIds = new HashSet<>();
  private int possibleRuns;
  private int sends;

  AttemptBudget(RouteSpec route, int maxSends) {
    this.repeatable = route.isRepeatable();
    this.maxRuns = Math.max(1, route.maxAttempts());
    this.maxSends = Math.max(maxSends, maxRuns);
  }

  /** Records that the request is sent to the engine with this id. */
  void onSend(String engineId) {
    triedEngineIds.add(engineId);
    sends++;
    possibleRuns++;
  }

  /** Records that the latest send was refused or never left, so the request did not run. */
  void onNotRun() {
    possibleRuns--;
  }

  /** Returns whether the request may be sent again after the latest send has ended. */
  boolean mayRetry() {
    if (sends >= maxSends || possibleRuns >= maxRuns) {
      return false;
    }
    return possibleRuns == 0 || repeatable;
  }

  /** Returns whether the request may have run on any engine. */
  boolean mayHaveRun() {
    return possibleRuns > 0;
  }

  /** Returns the ids of the engines that the request was sent to. */
  Set<String> triedEngineIds() {
    return Set.copyOf(triedEngineIds);
  }

  int sends() {
    return sends;
  }
}
