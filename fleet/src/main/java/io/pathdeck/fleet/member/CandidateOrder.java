package io.pathdeck.fleet.member;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Which of several candidates is asked next while no leader is known. Thread-safe.
 *
 * <p>Processes that begin at different candidates spread the load of a common start over all of
 * them.
 */
final class CandidateOrder {
  private final AtomicInteger next;

  private CandidateOrder(int first) {
    this.next = new AtomicInteger(first);
  }

  /** An order that begins with the first candidate. */
  static CandidateOrder fromFirst() {
    return new CandidateOrder(0);
  }

  /** An order whose beginning follows from the name of the process that asks. */
  static CandidateOrder forProcess(String process) {
    return new CandidateOrder(process.hashCode());
  }

  /** The candidate to ask; empty when there is none. */
  String current(List<String> candidates) {
    return candidates.isEmpty() ? "" : candidates.get(Math.floorMod(next.get(), candidates.size()));
  }

  /** Goes on to another candidate. */
  void advance() {
    next.incrementAndGet();
  }
}
