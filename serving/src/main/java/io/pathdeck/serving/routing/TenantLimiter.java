package io.pathdeck.serving.routing;

import io.pathdeck.protocol.model.TenantSpec;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Enforces this node's share of each tenant's limits on request rate and concurrency. */
final class TenantLimiter {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private static final class Usage {
    double tokens;
    long refilledAtMs;
    int activeRequests;
    boolean initialized;
  }

  private final Map<String, Usage> usages = new HashMap<>();

  /** Admits a request, or returns the reason for refusing it. */
  Optional<RefusalReason> admit(TenantSpec tenant, int liveNodes, long nowMs) {
    Usage usage = usages.computeIfAbsent(tenant.name(), key -> new Usage());
    int concurrencyLimit = nodeShare(tenant.maxConcurrentRequests(), liveNodes);
    if (concurrencyLimit > 0 && usage.activeRequests >= concurrencyLimit) {
      return Optional.of(RefusalReason.CONCURRENCY_LIMITED);
    }
    int rateLimit = nodeShare(tenant.requestsPerSecond(), liveNodes);
    if (rateLimit > 0 && !takeToken(usage, rateLimit, nowMs)) {
      return Optional.of(RefusalReason.RATE_LIMITED);
    }
    usage.activeRequests++;
    return Optional.empty();
  }

  private static int nodeShare(int limit, int liveNodes) {
    return limit == 0 ? 0 : Math.max(1, (limit + liveNodes - 1) / liveNodes);
  }

  private static boolean takeToken(Usage usage, int rate, long nowMs) {
    if (!usage.initialized) {
      usage.initialized = true;
      usage.tokens = rate;
      usage.refilledAtMs = nowMs;
    }
    double refill = (nowMs - usage.refilledAtMs) * rate / MILLIS_PER_SECOND;
    usage.tokens = Math.min(rate, usage.tokens + refill);
    usage.refilledAtMs = nowMs;
    if (usage.tokens < 1) {
      return false;
    }
    usage.tokens -= 1;
    return true;
  }

  void release(String tenant) {
    Usage usage = usages.get(tenant);
    if (usage != null) {
      usage.activeRequests--;
    }
  }
}
