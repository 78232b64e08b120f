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
 * The requests of one service that wait for room at an engine; bounded, confined to one thread.
 *
 * <p>It answers a load beyond the engines' places for some hundred milliseconds. Requests leave by
 * rank, then fairly between tenants, then by the time when they are due. A rank that was passed
 * over often enough is next, so that a less urgent one does not starve. When the queue is full, the
 * newest request of the tenant with most waiting work gives way.
 */
public final class RequestQueue<T> {
  /**
   * After how many requests of other ranks a waiting rank is next: urgent callers lose at most one
   * place in nine to each less urgent rank.
   */
  static final int MAX_TIMES_SKIPPED = 8;

  private final int maxRequests;
  private final long maxBytes;
  private final TreeMap<Rank, FairQueue<T>> queuesByRank = new TreeMap<>();
  private final Map<T, TenantQueue.Arrival<T>> arrivals = new LinkedHashMap<>();
  private long bytes;
  private long nextSequence;

  /** An empty queue with its bounds; a request alone in the queue may be larger. */
  public RequestQueue(int maxRequests, long maxBytes) {
    this.maxRequests = maxRequests;
    this.maxBytes = maxBytes;
  }

  /** Adds a request that is not in the queue; returns those that give way, perhaps itself. */
  public List<WaitingRequest<T>> add(WaitingRequest<T> waiting) {
    if (arrivals.containsKey(waiting.request())) {
      throw new IllegalArgumentException("the request waits already");
    }
    TenantQueue.Arrival<T> arrival = new TenantQueue.Arrival<>(waiting, nextSequence++);
    arrivals.put(waiting.request(), arrival);
    bytes += waiting.bytes();
    queuesByRank.computeIfAbsent(waiting.rank(), added -> new FairQueue<>()).add(arrival);
    List<WaitingRequest<T>> givenWay = new ArrayList<>();
    while (arrivals.size() > 1 && (arrivals.size() > maxRequests || bytes > maxBytes)) {
      givenWay.add(evictOne());
    }
    return givenWay;
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

  /** The request that is next, if any waits. */
  public Optional<WaitingRequest<T>> peek() {
    return nextQueue().map(rank -> rank.first().waiting());
  }

  /** Takes the next request out, if any waits. */
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
    for (FairQueue<T> rank : queuesByRank.values()) {
      if (rank.isEmpty()) {
        continue;
      }
      boolean starved = rank.timesSkipped() >= MAX_TIMES_SKIPPED;
      if (best == null || (starved && rank.timesSkipped() > best.timesSkipped())) {
        best = rank;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Takes a request out whose caller has left or whose time is over; false if it does not wait. */
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

  /** Whether a request has waited as long as it may. */
  public boolean hasExpiredHold(long nowMs) {
    return arrivals.values().stream().anyMatch(arrival -> arrival.waiting().holdUntilMs() <= nowMs);
  }

  /** How many requests wait. */
  public int size() {
    return arrivals.size();
  }

  /** Whether no request waits. */
  public boolean isEmpty() {
    return arrivals.isEmpty();
  }
}
