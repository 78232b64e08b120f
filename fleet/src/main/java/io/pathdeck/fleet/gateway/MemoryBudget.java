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
  private final Set<Holding> holdings = new LinkedHashSet<>();

  private long heldBytes;

  MemoryBudget(long maxBytes, MemoryMetrics metrics) {
    this.maxBytes = maxBytes;
    this.metrics = metrics;
  }

  /** What one connection will hold. */
  HeldMemory open() {
    return new Holding();
  }

  long heldBytes() {
    return heldBytes;
  }

  /** What the requests of a tenant hold. */
  long heldBytes(String tenant) {
    return holdings.stream()
        .filter(holding -> holding.tenant.equals(tenant))
        .mapToLong(Holding::bytes)
        .sum();
  }

  /** Makes room after {@code asking} has grown; returns whether it may stay. */
  private boolean makeRoom(Holding asking) {
    List<GivenUp> others = new ArrayList<>();
    boolean stays = true;
    while (heldBytes > maxBytes && stays) {
      Optional<Holding> costliest = costliest();
      stays = costliest.isPresent() && costliest.get() != asking;
      if (stays) {
        others.add(costliest.get().giveUp());
      }
    }
    others.forEach(this::tell);
    return stays;
  }

  private Optional<Holding> costliest() {
    Map<String, Long> bytesOfTenants = new HashMap<>();
    for (Holding holding : holdings) {
      if (holding.owner != null) {
        bytesOfTenants.merge(holding.tenant, holding.bytes(), Long::sum);
      }
    }
    ToLongFunction<Holding> bytesOfTenant = holding -> bytesOfTenants.get(holding.tenant);
    return holdings.stream()
        .filter(holding -> holding.owner != null)
        .max(Comparator.comparingLong(bytesOfTenant).thenComparingLong(Holding::bytes));
  }

  private void tell(GivenUp givenUp) {
    onGivenUp(givenUp.tenant(), givenUp.bytes(), givenUp.owner().giveUp());
  }

  private void onGivenUp(String tenant, long bytes, boolean rejected) {
    if (rejected) {
      metrics.onRejected();
    } else {
      metrics.onBrokenOff();
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

  private void count(Holding holding, long change) {
    heldBytes += change;
    metrics.setHeldBytes(heldBytes);
    if (holding.bytes() > 0) {
      holdings.add(holding);
    } else {
      holdings.remove(holding);
    }
  }

  /** A holding that was taken out of the account, and whoever frees its memory. */
  private record GivenUp(String tenant, long bytes, HeldMemory.Owner owner) {}

  /** What one connection holds; after it was given up, until its end, it counts nothing. */
  private final class Holding implements HeldMemory {
    private String tenant = "";
    private Owner owner;
    private long bodyBytes;
    private long answerBytes;
    private boolean givenUp;

    long bytes() {
      return bodyBytes + answerBytes;
    }

    @Override
    public boolean countsAnswers() {
      return true;
    }

    @Override
    public boolean tryHoldBody(long bytes) {
      if (givenUp) {
        return false;
      }
      bodyBytes += bytes;
      count(this, bytes);
      if (makeRoom(this)) {
        return true;
      }
      bodyBytes -= bytes;
      count(this, -bytes);
      onGivenUp(tenant, bytes, true);
      return false;
    }

    @Override
    public boolean tryHoldAnswer(long bytes) {
      if (givenUp) {
        return false;
      }
      answerBytes += bytes;
      count(this, bytes);
      if (makeRoom(this)) {
        return true;
      }
      answerBytes -= bytes;
      count(this, -bytes);
      onGivenUp(tenant, bytes, false);
      return false;
    }

    @Override
    public void releaseAnswer(long bytes) {
      long released = Math.min(bytes, answerBytes);
      answerBytes -= released;
      count(this, -released);
    }

    @Override
    public void releaseAll() {
      drop();
      givenUp = false;
      tenant = "";
      owner = null;
    }

    private void drop() {
      long released = bytes();
      bodyBytes = 0;
      answerBytes = 0;
      count(this, -released);
    }

    private GivenUp giveUp() {
      GivenUp left = new GivenUp(tenant, bytes(), owner);
      drop();
      owner = null;
      givenUp = true;
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
