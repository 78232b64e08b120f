package io.pathdeck.fleet.queue;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The waiting requests of one rank, ordered by start-time fair queueing: the tenant with the lowest
 * start tag is next, so that a tenant that sends a flood of requests delays mainly its own.
 */
final class FairQueue<T> {
  private final Map<String, TenantQueue<T>> tenants = new LinkedHashMap<>();
  private double virtualTime;
  private int size;
  private int timesSkipped;

  void add(TenantQueue.Arrival<T> arrival) {
    tenants
        .computeIfAbsent(arrival.waitingRequest().tenant(), name -> new TenantQueue<>())
        .add(arrival);
    size++;
  }

  void remove(TenantQueue.Arrival<T> arrival) {
    TenantQueue<T> tenant = tenants.get(arrival.waitingRequest().tenant());
    if (tenant != null && tenant.remove(arrival)) {
      size--;
      timesSkipped = isEmpty() ? 0 : timesSkipped;
      removeIdleTenants();
    }
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns how many requests of other ranks were sent since the last request of this rank. */
  int timesSkipped() {
    return timesSkipped;
  }

  void onSkipped() {
    timesSkipped++;
  }

  TenantQueue.Arrival<T> first() {
    return nextTenant().first();
  }

  /** Removes the first request and charges its tenant. */
  TenantQueue.Arrival<T> poll() {
    timesSkipped = 0;
    TenantQueue<T> tenant = nextTenant();
    TenantQueue.Arrival<T> first = tenant.first();
    tenant.remove(first);
    size--;
    virtualTime = tenant.startTag(virtualTime);
    tenant.charge(virtualTime, first.waitingRequest().work());
    removeIdleTenants();
    return first;
  }

  private TenantQueue<T> nextTenant() {
    TenantQueue<T> next = null;
    for (TenantQueue<T> tenant : tenants.values()) {
      boolean startsEarlier =
          next == null || tenant.startTag(virtualTime) < next.startTag(virtualTime);
      if (!tenant.isEmpty() && startsEarlier) {
        next = tenant;
      }
    }
    return next;
  }

  private void removeIdleTenants() {
    tenants.values().removeIf(tenant -> tenant.isIdle(virtualTime));
  }
}
