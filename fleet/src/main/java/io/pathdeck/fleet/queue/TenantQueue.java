package io.pathdeck.fleet.queue;

import java.util.Comparator;
import java.util.TreeSet;

/** The waiting requests of one tenant and rank, the earliest due first. */
final class TenantQueue<T> {
  /** A request with its place in the order of arrival. */
  record Arrival<T>(WaitingRequest<T> waiting, long sequence) {}

  private final TreeSet<Arrival<T>> arrivals =
      new TreeSet<>(
          Comparator.comparingLong((Arrival<T> arrival) -> arrival.waiting().dueMs())
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

  /** When the tenant's next request starts in virtual time; a tenant gains nothing by idling. */
  double startTag(double virtualTime) {
    return Math.max(virtualTime, finishTag);
  }

  /** The request's work is charged to the tenant. */
  void charge(double startTag, double work) {
    finishTag = startTag + work;
  }

  /** Whether nothing waits and the charged work is over, so that the tenant can be forgotten. */
  boolean isIdle(double virtualTime) {
    return arrivals.isEmpty() && finishTag <= virtualTime;
  }
}
