package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.serving.http.ConnectionMemory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Limits the memory that a gateway uses for its callers: request bodies, buffered responses and
 * stream data that callers have not read. Confined to the event loop.
 *
 * <p>It protects against large bodies, floods and slow readers. Above the limit, the largest
 * reservation of the tenant with the most memory is evicted first, so a flooding tenant loses its
 * own requests before other tenants lose theirs.
 */
final class MemoryBudget {
  private static final EventLog EVENTS = EventLog.of(MemoryBudget.class);

  private final long maxBytes;
  private final MemoryMetrics metrics;

  /** Nonempty reservations only. */
  private final Set<Reservation> reservations = new LinkedHashSet<>();

  private long heldBytes;

  MemoryBudget(long maxBytes, MemoryMetrics metrics) {
    this.maxBytes = maxBytes;
    this.metrics = metrics;
  }

  /** Opens an empty reservation for one connection. */
  ConnectionMemory open() {
    return new Reservation();
  }

  long heldBytes() {
    return heldBytes;
  }

  /** Returns the bytes reserved by one tenant's requests. */
  long heldBytes(String tenant) {
    return reservations.stream()
        .filter(reservation -> reservation.tenant.equals(tenant))
        .mapToLong(Reservation::bytes)
        .sum();
  }

  /**
   * Evicts reservations until the total is within the limit. Returns false if it still exceeds the
   * limit because the next candidate is {@code requester} itself, or none is left.
   */
  private boolean makeRoom(Reservation requester) {
    List<EvictedReservation> evicted = new ArrayList<>();
    boolean fits = true;
    while (heldBytes > maxBytes && fits) {
      Optional<Reservation> candidate = evictionCandidate();
      fits = candidate.isPresent() && candidate.get() != requester;
      if (fits) {
        evicted.add(candidate.get().evict());
      }
    }
    evicted.forEach(this::notifyOwner);
    return fits;
  }

  private Optional<Reservation> evictionCandidate() {
    Map<String, Long> bytesByTenant = new HashMap<>();
    for (Reservation reservation : reservations) {
      if (reservation.owner != null) {
        bytesByTenant.merge(reservation.tenant, reservation.bytes(), Long::sum);
      }
    }
    ToLongFunction<Reservation> bytesOfTenant =
        reservation -> bytesByTenant.get(reservation.tenant);
    return reservations.stream()
        .filter(reservation -> reservation.owner != null)
        .max(Comparator.comparingLong(bytesOfTenant).thenComparingLong(Reservation::bytes));
  }

  private void notifyOwner(EvictedReservation evicted) {
    recordBudgetReached(evicted.tenant(), evicted.bytes(), evicted.owner().evict());
  }

  private void recordBudgetReached(String tenant, long bytes, boolean rejected) {
    if (rejected) {
      metrics.onRejected();
    } else {
      metrics.onAborted();
    }
    EVENTS.log(
        EventCode.MEMORY_BUDGET_REACHED,
        "tenant",
        tenant,
        "bytes",
        bytes,
        "held",
        heldBytes,
        "rejected",
        rejected);
  }

  private void applyChange(Reservation reservation, long deltaBytes) {
    heldBytes += deltaBytes;
    metrics.setHeldBytes(heldBytes);
    if (reservation.bytes() > 0) {
      reservations.add(reservation);
    } else {
      reservations.remove(reservation);
    }
  }

  /** The state of a reservation before its eviction, to notify its owner. */
  private record EvictedReservation(String tenant, long bytes, ConnectionMemory.Owner owner) {}

  /**
   * The memory of one connection. After an eviction it refuses further bytes until {@link
   * #releaseAll}.
   */
  private final class Reservation implements ConnectionMemory {
    private String tenant = "";
    private Owner owner;
    private long bodyBytes;
    private long answerBytes;
    private boolean evicted;

    long bytes() {
      return bodyBytes + answerBytes;
    }

    @Override
    public boolean limitsResponses() {
      return true;
    }

    @Override
    public boolean tryReserveBody(long bytes) {
      if (evicted) {
        return false;
      }
      bodyBytes += bytes;
      applyChange(this, bytes);
      if (makeRoom(this)) {
        return true;
      }
      bodyBytes -= bytes;
      applyChange(this, -bytes);
      recordBudgetReached(tenant, bytes, true);
      return false;
    }

    @Override
    public boolean tryReserveResponse(long bytes) {
      if (evicted) {
        return false;
      }
      answerBytes += bytes;
      applyChange(this, bytes);
      if (makeRoom(this)) {
        return true;
      }
      answerBytes -= bytes;
      applyChange(this, -bytes);
      recordBudgetReached(tenant, bytes, false);
      return false;
    }

    @Override
    public void releaseResponse(long bytes) {
      long released = Math.min(bytes, answerBytes);
      answerBytes -= released;
      applyChange(this, -released);
    }

    @Override
    public void releaseAll() {
      clear();
      evicted = false;
      tenant = "";
      owner = null;
    }

    private void clear() {
      long released = bytes();
      bodyBytes = 0;
      answerBytes = 0;
      applyChange(this, -released);
    }

    private EvictedReservation evict() {
      EvictedReservation result = new EvictedReservation(tenant, bytes(), owner);
      clear();
      owner = null;
      evicted = true;
      return result;
    }

    @Override
    public void setOwner(String newTenant, Owner newOwner) {
      tenant = newTenant;
      owner = newOwner;
    }

    @Override
    public void disableEviction() {
      owner = null;
    }
  }
}
