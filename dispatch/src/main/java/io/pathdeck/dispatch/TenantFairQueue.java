package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationView;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Weighted fair queueing over tenants, counted in generated tokens. The tenant with the least
 * normalized service goes next; a tenant that was idle starts level with the others, so that it
 * neither claims the past nor is punished for having used idle capacity.
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

  /** Tells which tenants have work now; those that just came are brought level. */
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

  /** Charges a tenant for tokens, or for an estimate that is corrected later. */
  void charge(String tenant, double tokens) {
    int weight = weights.getOrDefault(tenant, 1);
    virtualTime.merge(tenant, tokens / weight, Double::sum);
  }

  /** The tenant to be served next. */
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
