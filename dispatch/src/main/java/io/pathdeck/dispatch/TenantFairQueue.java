package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationView;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Weighted fair queueing of tenants by generated tokens. The tenant with the lowest virtual time is
 * next. A newly backlogged tenant starts at least at the lowest virtual time of the others, so it
 * gets no credit for its idle time.
 */
final class TenantFairQueue {
  private final Map<String, Double> virtualTime = new HashMap<>();
  private final Map<String, Integer> weights = new HashMap<>();
  private final java.util.Set<String> backlogged = new java.util.HashSet<>();

  void onConfiguration(ConfigurationView view) {
    weights.clear();
    for (TenantSpec tenant : view.tenants()) {
      weights.put(tenant.name(), tenant.weight());
    }
    virtualTime.keySet().retainAll(weights.keySet());
  }

  /** Sets the tenants with work and raises the virtual time of newly backlogged ones. */
  void onBacklogged(Collection<String> tenants) {
    double floor =
        tenants.stream()
            .filter(backlogged::contains)
            .mapToDouble(tenant -> virtualTime.getOrDefault(tenant, 0.0))
            .min()
            .orElse(virtualTime.values().stream().mapToDouble(v -> v).max().orElse(0));
    for (String tenant : tenants) {
      if (!backlogged.contains(tenant)) {
        virtualTime.merge(tenant, floor, Math::max);
      }
    }
    backlogged.clear();
    backlogged.addAll(tenants);
  }

  /** Charges a tenant for tokens; negative values correct an earlier estimate. */
  void charge(String tenant, double tokens) {
    int weight = weights.getOrDefault(tenant, 1);
    virtualTime.merge(tenant, tokens / weight, Double::sum);
  }

  /** Returns the candidate with the lowest virtual time, or null if there are none. */
  String nextTenant(Collection<String> candidates) {
    String best = null;
    double bestTime = Double.MAX_VALUE;
    for (String tenant : candidates) {
      double time = virtualTime.getOrDefault(tenant, 0.0);
      if (best == null || time < bestTime) {
        best = tenant;
        bestTime = time;
      }
    }
    return best;
  }
}
