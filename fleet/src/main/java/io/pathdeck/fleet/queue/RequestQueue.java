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
 * <p>It absorbs load beyond the engines' slots for some hundred milliseconds. Requests leave by
 * rank, then fairly between tenants, then by due time. A rank that has been skipped often enough is
 * next, so that it does not starve. When the queue is full, the newest request of the tenant with
 * the most waiting work is evicted.
 */
public final class RequestQueue<T> {
  /**
   * After how many requests of other ranks a waiting rank is next: urgent requests lose at most one
   * send in nine to each less urgent rank.
   */
  static final int MAX_TIMES_SKIPPED = 8;

  private final int maxRequests;
  private final long maxBytes;
  private final TreeMap<Rank, FairQueue<T>> queuesByRank = new TreeMap<>();
  private final Map<T, TenantQueue.Arrival<T>> arrivals = new LinkedHashMap<>();
  private long bytes;
  private long nextSequence;

  /** Creates an empty queue; a single request in it may exceed {@code maxBytes}. */
  public RequestQueue(int maxRequests, long maxBytes) {
    this.maxRequests = maxRequests;
    this.maxBytes = maxBytes;
  }

  /** Adds a request that is not in the queue; returns the evicted ones, possibly itself. */
  public List<WaitingRequest<T>> add(WaitingRequest<T> waiting) {
    if (arrivals.containsKey(waiting.request())) {
      throw new IllegalArgumentException("the request is already in the queue");
    }
    TenantQueue.Arrival<T> arrival = new TenantQueue.Arrival<>(waiting, nextSequence++);
    arrivals.put(waiting.request(), arrival);
    bytes += waiting.bytes();
    queuesByRank.computeIfAbsent(waiting.rank(), added -> new FairQueue<>()).add(arrival);
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
            .filter(arrival -> arrival.waiting().tenant().equals(tenant))
            .max(Comparator.comparingLong(TenantQueue.Arrival::sequence))
            .orElseThrow()
            .waiting();
    remove(newest.request());
    return newest;
  }

  private String tenantWithMostWork() {
    Map<String, Double> work = new HashMap<>();
    for (TenantQueue.Arrival<T> arrival : arrivals.values()) {
      work.merge(arrival.waiting().tenant(), arrival.waiting().work(), Double::sum);
    }
    return work.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
  }

  /** Returns the next request, if any. */
  public Optional<WaitingRequest<T>> peek() {
    return nextQueue().map(queue -> queue.first().waiting());
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
    forget(arrival.waiting());
    return Optional.of(arrival.waiting());
  }

  private Optional<FairQueue<T>> nextQueue() {
    FairQueue<T> best = null;
    for (FairQueue<T> queue : queuesByRank.values()) {
      if (queue.isEmpty()) {
        continue;
      }
      boolean starved = queue.timesSkipped() >= MAX_TIMES_SKIPPED;
      if (best == null || (starved && queue.timesSkipped() > best.timesSkipped())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Removes a request that was canceled or has expired; returns false if it is not in the queue.
   */
  public boolean remove(T request) {
    TenantQueue.Arrival<T> arrival = arrivals.get(request);
    if (arrival == null) {
      return false;
    }
    queuesByRank.get(arrival.waiting().rank()).remove(arrival);
    forget(arrival.waiting());
    return true;
  }

  private void forget(WaitingRequest<T> waiting) {
    arrivals.remove(waiting.request());
    bytes -= waiting.bytes();
  }

  /** Whether the hold of any request has ended. */
  public boolean hasExpiredHold(long nowMs) {
    return arrivals.values().stream().anyMatch(arrival -> arrival.waiting().holdUntilMs() <= nowMs);
  }

  /** The number of waiting requests. */
  public int size() {
    return arrivals.size();
  }

  public boolean isEmpty() {
    return arrivals.isEmpty();
  }
}
