package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.serving.http.HeldMemory;
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
 * Bounds what a gateway keeps in memory for its callers: bodies of requests, answers that are
 * collected and parts of streams that callers have not taken. Confined to the event loop.
 *
 * <p>It answers large bodies, floods and callers that read slowly. Beyond the bound the costliest
 * to keep is given up first: the largest holding of the tenant that holds most. So a tenant that
 * floods loses its own requests before it touches those of others.
 */
final class MemoryBudget {
  private static final EventLog EVENTS = EventLog.of(MemoryBudget.class);

  private final long maxBytes;
  private final MemoryMetrics metrics;

  /** The holdings that are not empty. */
  private final Set<Reservation> reservations = new LinkedHashSet<>();

  private long heldBytes;

  MemoryBudget(long maxBytes, MemoryMetrics metrics) {
    this.maxBytes = maxBytes;
    this.metrics = metrics;
  }

  /** What one connection will hold. */
  HeldMemory open() {
    return new Reservation();
  }

  long heldBytes() {
    return heldBytes;
  }

  /** What the requests of a tenant hold. */
  long heldBytes(String tenant) {
    return reservations.stream()
        .filter(holding -> holding.tenant.equals(tenant))
        .mapToLong(Reservation::bytes)
        .sum();
  }

  /** Makes room after {@code asking} has grown; returns whether it may stay. */
  private boolean makeRoom(Reservation asking) {
    List<Evicted> others = new ArrayList<>();
    boolean stays = true;
    while (heldBytes > maxBytes && stays) {
      Optional<Reservation> costliest = evictionCandidate();
      stays = costliest.isPresent() && costliest.get() != asking;
      if (stays) {
        others.add(costliest.get().evict());
      }
    }
    others.forEach(this::notifyOwner);
    return stays;
  }

  private Optional<Reservation> evictionCandidate() {
    Map<String, Long> bytesOfTenants = new HashMap<>();
    for (Reservation holding : reservations) {
      if (holding.owner != null) {
        bytesOfTenants.merge(holding.tenant, holding.bytes(), Long::sum);
      }
    }
    ToLongFunction<Reservation> bytesOfTenant = holding -> bytesOfTenants.get(holding.tenant);
    return reservations.stream()
        .filter(holding -> holding.owner != null)
        .max(Comparator.comparingLong(bytesOfTenant).thenComparingLong(Reservation::bytes));
  }

  private void notifyOwner(Evicted givenUp) {
    recordEviction(givenUp.tenant(), givenUp.bytes(), givenUp.owner().giveUp());
  }

  private void recordEviction(String tenant, long bytes, boolean rejected) {
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

  private void applyChange(Reservation holding, long change) {
    heldBytes += change;
    metrics.setHeldBytes(heldBytes);
    if (holding.bytes() > 0) {
      reservations.add(holding);
    } else {
      reservations.remove(holding);
    }
  }

  /** A holding that was taken out of the account, and whoever frees its memory. */
  private record Evicted(String tenant, long bytes, HeldMemory.Owner owner) {}

  /** What one connection holds; after it was given up, until its end, it counts nothing. */
  private final class Reservation implements HeldMemory {
    private String tenant = "";
    private Owner owner;
    private long bodyBytes;
    private long answerBytes;
    private boolean evicted;

    long bytes() {
      return bodyBytes + answerBytes;
    }

    @Override
    public boolean countsAnswers() {
      return true;
    }

    @Override
    public boolean tryHoldBody(long bytes) {
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
      recordEviction(tenant, bytes, true);
      return false;
    }

    @Override
    public boolean tryHoldAnswer(long bytes) {
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
      recordEviction(tenant, bytes, false);
      return false;
    }

    @Override
    public void releaseAnswer(long bytes) {
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

    private Evicted evict() {
      Evicted left = new Evicted(tenant, bytes(), owner);
      clear();
      owner = null;
      evicted = true;
      return left;
    }

    @Override
    public void belongTo(String newTenant, Owner newOwner) {
      tenant = newTenant;
      owner = newOwner;
    }

    @Override
    public void cannotBeGivenUp() {
      owner = null;
    }
  }
}
