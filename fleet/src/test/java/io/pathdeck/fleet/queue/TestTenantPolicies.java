package io.pathdeck.fleet.queue;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestTenantPolicies {
  private static boolean hasTenantPolicies(CallerTenant... tenants) {
    CallerLimits limits = new CallerLimits(0, 0, 0);
    byte[] none = new byte[0];
    return TenantPolicies.existIn(
        new RouteTable(1, List.of(), List.of(), limits, List.of(tenants), none, none));
  }

  private static CallerTenant tenant(int priority, double requestsPerSecond) {
    return new CallerTenant("t", List.of(), priority, requestsPerSecond, 0);
  }

  @Test
  void requiresLimitOrPriority() {
    assertThat(hasTenantPolicies()).isFalse();
    assertThat(hasTenantPolicies(tenant(0, 0))).isFalse();
    assertThat(hasTenantPolicies(tenant(0, 0), tenant(2, 0))).isTrue();
    assertThat(hasTenantPolicies(tenant(0, 5))).isTrue();
  }
}
