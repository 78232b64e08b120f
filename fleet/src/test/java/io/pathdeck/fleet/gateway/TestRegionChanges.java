package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A job sent again after a change of its regions must not be accepted by a second group. */
class TestRegionChanges {
  private static final long NOW_NS = 1_000;

  private final RegionChanges changes = new RegionChanges();

  private static RouteTable table(long version, String... regions) {
    CallerTenant tenant = new CallerTenant("t", List.of(), 0, 0, 0, List.of(regions));
    return new RouteTable(
        version,
        List.of(),
        List.of(),
        CallerLimits.NONE,
        List.of(tenant),
        new byte[0],
        new byte[0]);
  }

  @Test
  void fleetWithoutAllowedRegionsNeverChanges() {
    changes.onRoutes(table(1), NOW_NS);
    changes.onRoutes(table(2), NOW_NS);
    assertThat(changes.isRecent(NOW_NS)).isFalse();
  }

  @Test
  void changeIsRecentWhileCallersMayResubmit() {
    changes.onRoutes(table(1), NOW_NS);
    changes.onRoutes(table(2, "north"), NOW_NS);
    long endNs = NOW_NS + RegionChanges.RESUBMISSION_WINDOW_NS;
    assertThat(changes.isRecent(endNs - 1)).isTrue();
    assertThat(changes.isRecent(endNs)).isFalse();
    changes.onRoutes(table(3, "north"), endNs);
    assertThat(changes.isRecent(endNs)).isFalse();
    changes.onRoutes(table(4), endNs);
    assertThat(changes.isRecent(endNs)).isTrue();
  }
}
