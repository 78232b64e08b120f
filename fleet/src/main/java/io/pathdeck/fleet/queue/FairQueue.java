package io.pathdeck.fleet.queue;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The waiting requests of one rank, fair between tenants (start-time fair queueing): the tenant
 * with the lowest recent usage is next, so that a flood delays the tenant that sends it.
 */
final class FairQueue<T> {
  private final Map<String, TenantQueue<T>> tenants = new LinkedHashMap<>();
  private double virtualTime;
  private int waiting;
  private int timesSkipped;

  void add(TenantQueue.Arrival<T> arrival) {
    tenants.computeIfAbsent(arrival.waiting().tenant(), added -> new TenantQueue<>()).add(arrival);
    waiting++;
  }

  void remove(TenantQueue.Arrival<T> arrival) {
    TenantQueue<T> tenant = tenants.get(arrival.waiting().tenant());
    if (tenant != null && tenant.remove(arrival)) {
      waiting--;
      timesSkipped = isEmpty() ? 0 : timesSkipped;
      removeIdleTenants();
    }
  }

  boolean isEmpty() {
    return waiting == 0;
  }

  /** How many requests of other ranks were sent while requests of this one waited. */
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
    waiting--;
    virtualTime = tenant.startTag(virtualTime);
    tenant.charge(virtualTime, first.waiting().work());
    removeIdleTenants();
    return first;
  }

  private TenantQueue<T> nextTenant() {
    TenantQueue<T> best = null;
    for (TenantQueue<T> tenant : tenants.values()) {
      boolean sooner = best == null || tenant.startTag(virtualTime) < best.startTag(virtualTime);
      if (!tenant.isEmpty() && sooner) {
        best = tenant;
      }
    }
    return best;
  }

  private void removeIdleTenants() {
    tenants.values().removeIf(tenant -> tenant.isIdle(virtualTime));
  }
}
