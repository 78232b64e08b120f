package io.pathdeck.fleet.queue;

import java.util.Comparator;
import java.util.TreeSet;

/** The waiting requests of one tenant and rank, earliest due first. */
final class TenantQueue<T> {
  /** A request and its position in the order of arrival. */
  record Arrival<T>(WaitingRequest<T> waitingRequest, long sequence) {}

  private final TreeSet<Arrival<T>> arrivals =
      new TreeSet<>(
          Comparator.comparingLong((Arrival<T> arrival) -> arrival.waitingRequest().dueMs())
              .thenComparingLong(Arrival::sequence));
  private double finishTag;

  void add(Arrival<T> arrival) {
    arrivals.add(arrival);
  }

  boolean remove(Arrival<T> arrival) {
    return arrivals.remove(arrival);
  }

  boolean isEmpty() {
    return arrivals.isEmpty();
  }

  Arrival<T> first() {
    return arrivals.first();
  }

  /** The virtual start time of the tenant's next request; an idle tenant accumulates no credit. */
  double startTag(double virtualTime) {
    return Math.max(virtualTime, finishTag);
  }

  /** Charges work that starts at {@code startTag} to the tenant. */
  void charge(double startTag, double work) {
    finishTag = startTag + work;
  }

  /**
   * Whether no request waits and virtual time has passed the charged work, so that the tenant can
   * be removed.
   */
  boolean isIdle(double virtualTime) {
    return arrivals.isEmpty() && finishTag <= virtualTime;
  }
}
