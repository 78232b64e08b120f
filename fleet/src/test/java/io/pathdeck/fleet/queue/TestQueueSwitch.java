package io.pathdeck.fleet.queue;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestQueueSwitch {
  private static boolean callersCompete(CallerTenant... tenants) {
    CallerLimits limits = new CallerLimits(0, 0, 0);
    byte[] none = new byte[0];
    return QueueSwitch.callersCompete(
        new RouteTable(1, List.of(), List.of(), limits, List.of(tenants), none, none));
  }

  private static CallerTenant tenant(int priority, double requestsPerSecond) {
    return new CallerTenant("t", List.of(), priority, requestsPerSecond, 0);
  }

  @Test
  void callersCompeteUnderLimitsOrPriorities() {
    assertThat(callersCompete()).isFalse();
    assertThat(callersCompete(tenant(0, 0))).isFalse();
    assertThat(callersCompete(tenant(0, 0), tenant(2, 0))).isTrue();
    assertThat(callersCompete(tenant(0, 5))).isTrue();
  }
}
