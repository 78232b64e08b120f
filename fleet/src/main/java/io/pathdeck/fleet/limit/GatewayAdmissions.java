package io.pathdeck.fleet.limit;

import io.pathdeck.protocol.fleet.TenantUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one gateway admits of limited tenants; confined to one thread.
 *
 * <p>A tenant far below its limit is admitted at once. A contended one, near its limit, is admitted
 * request by request by the leading coordinator. While the leader does not answer, a gateway admits
 * no more of a contended tenant than it had in its window when the leader was heard last, so the
 * fleet as a whole stays where it was.
 */
public final class GatewayAdmissions {
  /** What to do with a request. */
  public enum Decision {
    ADMIT,
    ASK_LEADER,

    /** The leader has just refused a request of the tenant. */
    REFUSE,

    /** The leader was not heard for so long that the fleet may be at the limit. */
    UNDECIDED
  }

  /**
   * How long requests are refused without a question after the leader refused one. A place frees
   * every few ms for a large tenant; a caller that floods costs one question in this time.
   */
  private static final long REFUSAL_HOLDS_MS = 50;

  /**
   * How long after the leader's last word a tenant that was not contended is admitted freely. Later
   * a gateway admits at most twice what it held: the fleet was below half of the limit.
   */
  private static final long TOLD_HOLDS_MS = 1_000;

  /** One tenant at this gateway. */
  private static final class Tenant {
    final SlidingCount admitted;
    int heldWhenToldLast;
    long refusedUntilMs = Long.MIN_VALUE;

    Tenant(long windowMs) {
      admitted = new SlidingCount(windowMs);
    }
  }

  private final long windowMs;
  private final Map<String, Tenant> tenants = new HashMap<>();
  private Set<String> contended = Set.of();
  private long toldMs;

  /**
   * Creates the admissions of a gateway.
   *
   * @param windowMs the span over which limits hold
   */
  public GatewayAdmissions(long windowMs, long nowMs) {
    this.windowMs = windowMs;
    this.toldMs = nowMs;
  }

  /** Decides on a request of a limited tenant. */
  public Decision decide(String tenant, long nowMs) {
    if (!contended.contains(tenant)) {
      return isFree(tenant, nowMs) ? Decision.ADMIT : Decision.UNDECIDED;
    }
    Tenant known = tenants.get(tenant);
    boolean justRefused = known != null && nowMs < known.refusedUntilMs;
    return justRefused ? Decision.REFUSE : Decision.ASK_LEADER;
  }

  private boolean isFree(String tenant, long nowMs) {
    if (nowMs - toldMs <= TOLD_HOLDS_MS) {
      return true;
    }
    Tenant known = tenant(tenant);
    return known.admitted.total(nowMs) <= 2 * known.heldWhenToldLast;
  }

  /** Whether to admit a request about which the leader was asked and did not answer. */
  public boolean mayAdmitUnanswered(String tenant, long nowMs) {
    Tenant known = tenant(tenant);
    return known.admitted.total(nowMs) < known.heldWhenToldLast;
  }

  /** A request was admitted and goes to an engine. */
  public void onAdmitted(String tenant, long nowMs) {
    tenant(tenant).admitted.add(nowMs);
  }

  /** The leader refused a request. */
  public void onRefused(String tenant, long nowMs) {
    tenant(tenant).refusedUntilMs = nowMs + REFUSAL_HOLDS_MS;
  }

  /** The leader told which tenants are near their limits. */
  public void onTold(List<String> nearLimit, long nowMs) {
    contended = new HashSet<>(nearLimit);
    toldMs = nowMs;
    for (Tenant tenant : tenants.values()) {
      tenant.heldWhenToldLast = tenant.admitted.total(nowMs);
    }
  }

  /** What to tell the leader: the tenants of which something was admitted in the window. */
  public List<TenantUse> uses(long nowMs) {
    List<TenantUse> uses = new ArrayList<>();
    Iterator<Map.Entry<String, Tenant>> entries = tenants.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Tenant> entry = entries.next();
      int admitted = entry.getValue().admitted.total(nowMs);
      if (admitted > 0) {
        uses.add(new TenantUse(entry.getKey(), admitted));
      } else if (nowMs >= entry.getValue().refusedUntilMs) {
        entries.remove();
      }
    }
    return uses;
  }

  private Tenant tenant(String name) {
    return tenants.computeIfAbsent(name, added -> new Tenant(windowMs));
  }
}
