package io.pathdeck.fleet.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The requests of one service that wait for a free slot; bounded, confined to one thread.
 *
 * <p>The queue absorbs load beyond the engines' slots for a few hundred milliseconds. Requests
 * leave by rank, then by fair queueing between tenants, then by due time. A rank is next after
 * {@value #MAX_TIMES_SKIPPED} requests of other ranks, so that it does not starve. When the queue
 * is full, it evicts the newest request of the tenant with the most waiting work.
 */
public final class RequestQueue<T> {
  /**
   * Number of requests of other ranks after which a waiting rank is next. Each less urgent rank
   * takes at most one send in nine from urgent requests.
   */
  static final int MAX_TIMES_SKIPPED = 8;

  private final int maxRequests;
  private final long maxBytes;
  private final TreeMap<Rank, FairQueue<T>> queuesByRank = new TreeMap<>();
  private final Map<T, TenantQueue.Arrival<T>> arrivals = new LinkedHashMap<>();
  private long bytes;
  private long nextSequence;

  /**
   * Creates an empty queue. A request larger than {@code maxBytes} stays only while it is alone in
   * it.
   */
  public RequestQueue(int maxRequests, long maxBytes) {
    this.maxRequests = maxRequests;
    this.maxBytes = maxBytes;
  }

  /**
   * Adds a request that is not in the queue; returns the evicted requests, which may include it.
   */
  public List<WaitingRequest<T>> add(WaitingRequest<T> waitingRequest) {
    if (arrivals.containsKey(waitingRequest.request())) {
      throw new IllegalArgumentException("the request is already in the queue");
    }
    TenantQueue.Arrival<T> arrival = new TenantQueue.Arrival<>(waitingRequest, nextSequence++);
    arrivals.put(waitingRequest.request(), arrival);
    bytes += waitingRequest.bytes();
    queuesByRank.computeIfAbsent(waitingRequest.rank(), rank -> new FairQueue<>()).add(arrival);
    List<WaitingRequest<T>> evicted = new ArrayList<>();
    while (arrivals.size() > 1 && (arrivals.size() > maxRequests || bytes > maxBytes)) {
      evicted.add(evictOne());
    }
    return evicted;
  }

  private WaitingRequest<T> evictOne() {
    String tenant = tenantWithMostWork();
    WaitingRequest<T> newest =
        arrivals.values().stream()
            .filter(arrival -> arrival.waitingRequest().tenant().equals(tenant))
            .max(Comparator.comparingLong(TenantQueue.Arrival::sequence))
            .orElseThrow()
            .waitingRequest();
    remove(newest.request());
    return newest;
  }

  private String tenantWithMostWork() {
    Map<String, Double> workByTenant = new HashMap<>();
    for (TenantQueue.Arrival<T> arrival : arrivals.values()) {
      workByTenant.merge(
          arrival.waitingRequest().tenant(), arrival.waitingRequest().work(), Double::sum);
    }
    return workByTenant.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .orElseThrow()
        .getKey();
  }

  /** Returns the next request, if any. */
  public Optional<WaitingRequest<T>> peek() {
    return nextQueue().map(queue -> queue.first().waitingRequest());
  }

  /** Removes and returns the next request, if any. */
  public Optional<WaitingRequest<T>> poll() {
    Optional<FairQueue<T>> next = nextQueue();
    if (next.isEmpty()) {
      return Optional.empty();
    }
    TenantQueue.Arrival<T> arrival = next.get().poll();
    for (FairQueue<T> other : queuesByRank.values()) {
      if (other != next.get() && !other.isEmpty()) {
        other.onSkipped();
      }
    }
    forget(arrival.waitingRequest());
    return Optional.of(arrival.waitingRequest());
  }

  private Optional<FairQueue<T>> nextQueue() {
    FairQueue<T> next = null;
    for (FairQueue<T> queue : queuesByRank.values()) {
      if (queue.isEmpty()) {
        continue;
      }
      boolean isStarved = queue.timesSkipped() >= MAX_TIMES_SKIPPED;
      if (next == null || (isStarved && queue.timesSkipped() > next.timesSkipped())) {
        next = queue;
      }
    }
    return Optional.ofNullable(next);
  }

  /**
   * Removes a request that was canceled or has expired; returns false if it is not in the queue.
   */
  public boolean remove(T request) {
    TenantQueue.Arrival<T> arrival = arrivals.get(request);
    if (arrival == null) {
      return false;
    }
    queuesByRank.get(arrival.waitingRequest().rank()).remove(arrival);
    forget(arrival.waitingRequest());
    return true;
  }

  private void forget(WaitingRequest<T> waitingRequest) {
    arrivals.remove(waitingRequest.request());
    bytes -= waitingRequest.bytes();
  }

  /** Whether any request must be sent now even if no engine has a free slot. */
  public boolean hasExpiredHold(long nowMs) {
    return arrivals.values().stream()
        .anyMatch(arrival -> arrival.waitingRequest().holdUntilMs() <= nowMs);
  }

  public int size() {
    return arrivals.size();
  }

  public boolean isEmpty() {
    return arrivals.isEmpty();
  }
}
