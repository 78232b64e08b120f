package io.pathdeck.fleet.member;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Selects the candidate to ask while no leader is known. Thread-safe.
 *
 * <p>Processes start at different candidates, so that the load of a simultaneous start is spread
 * over all of them.
 */
final class CandidateOrder {
  private final AtomicInteger next;

  private CandidateOrder(int first) {
    this.next = new AtomicInteger(first);
  }

  /** Creates an order that starts with the first candidate. */
  static CandidateOrder fromFirst() {
    return new CandidateOrder(0);
  }

  /** Creates an order whose first candidate depends on the name of the asking process. */
  static CandidateOrder forProcess(String processName) {
    return new CandidateOrder(processName.hashCode());
  }

  /** Returns the candidate to ask; empty if there is none. */
  String current(List<String> candidates) {
    return candidates.isEmpty() ? "" : candidates.get(Math.floorMod(next.get(), candidates.size()));
  }

  /** Moves on to the next candidate. */
  void advance() {
    next.incrementAndGet();
  }
}
