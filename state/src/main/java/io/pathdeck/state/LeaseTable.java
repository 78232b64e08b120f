package io.pathdeck.state;

import io.pathdeck.protocol.model.ItemRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Leases of items to dispatchers. Lease ids are never reused. */
final class LeaseTable {

  /** A lease and its items that have no result yet. */
  static final class Lease {
    final long leaseId;
    final String dispatcherId;
    final Set<ItemRef> items;
    long expiresAtMs;

    Lease(long leaseId, String dispatcherId, Collection<ItemRef> items, long expiresAtMs) {
      this.leaseId = leaseId;
      this.dispatcherId = dispatcherId;
      this.items = new LinkedHashSet<>(items);
      this.expiresAtMs = expiresAtMs;
    }
  }

  private final Map<Long, Lease> leases = new LinkedHashMap<>();
  private long nextLeaseId = 1;

  Lease grant(String dispatcherId, List<ItemRef> items, long expiresAtMs) {
    Lease lease = new Lease(nextLeaseId++, dispatcherId, items, expiresAtMs);
    leases.put(lease.leaseId, lease);
    return lease;
  }

  /** Extends a lease; returns null when it has ended or belongs to another dispatcher. */
  Lease renew(long leaseId, String dispatcherId, long expiresAtMs) {
    Lease lease = leases.get(leaseId);
    if (lease == null || !lease.dispatcherId.equals(dispatcherId)) {
      return null;
    }
    lease.expiresAtMs = Math.max(lease.expiresAtMs, expiresAtMs);
    return lease;
  }

  /** Removes an item from its lease; returns whether the lease contained it. */
  boolean remove(long leaseId, ItemRef item) {
    Lease lease = leases.get(leaseId);
    if (lease == null || !lease.items.remove(item)) {
      return false;
    }
    if (lease.items.isEmpty()) {
      leases.remove(leaseId);
    }
    return true;
  }

  /** Removes and returns the leases that have expired. */
  List<Lease> expire(long nowMs) {
    List<Lease> expired = new ArrayList<>();
    Iterator<Lease> iterator = leases.values().iterator();
    while (iterator.hasNext()) {
      Lease lease = iterator.next();
      if (lease.expiresAtMs <= nowMs) {
        expired.add(lease);
        iterator.remove();
      }
    }
    return expired;
  }

  /** Removes the items of a job from all leases; returns how many were removed. */
  int removeJob(String jobId) {
    int removed = 0;
    Iterator<Lease> iterator = leases.values().iterator();
    while (iterator.hasNext()) {
      Lease lease = iterator.next();
      int before = lease.items.size();
      lease.items.removeIf(item -> item.jobId().equals(jobId));
      removed += before - lease.items.size();
      if (lease.items.isEmpty()) {
        iterator.remove();
      }
    }
    return removed;
  }

  Collection<Lease> leases() {
    return leases.values();
  }

  long nextLeaseId() {
    return nextLeaseId;
  }

  void restore(Lease lease) {
    leases.put(lease.leaseId, lease);
  }

  void reset(long nextId) {
    leases.clear();
    nextLeaseId = nextId;
  }
}
