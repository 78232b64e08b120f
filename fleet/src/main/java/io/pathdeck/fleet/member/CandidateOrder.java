package io.pathdeck.fleet.member;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Selects the candidate to ask while no leader is known. Thread-safe.
 *
 * <p>Processes start at different candidates, which spreads the load of a simultaneous start.
 */
final class CandidateOrder {
  private final AtomicInteger nextIndex;

  private CandidateOrder(int firstIndex) {
    this.nextIndex = new AtomicInteger(firstIndex);
  }

  static CandidateOrder fromFirst() {
    return new CandidateOrder(0);
  }

  /** Creates an order whose first candidate depends on the name of the asking process. */
  static CandidateOrder forProcess(String processName) {
    return new CandidateOrder(processName.hashCode());
  }

  /** Returns the candidate to ask; empty if there is none. */
  String current(List<String> candidates) {
    return candidates.isEmpty()
        ? ""
        : candidates.get(Math.floorMod(nextIndex.get(), candidates.size()));
  }

  void advance() {
    nextIndex.incrementAndGet();
  }
}
