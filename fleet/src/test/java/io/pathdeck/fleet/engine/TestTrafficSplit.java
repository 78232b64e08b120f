package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestTrafficSplit {
  private static RouteSpec route(RouteTarget... targets) {
    return new RouteSpec(
        "r",
        "h",
        "/p/",
        RouteKind.SAFE,
        1_000,
        100,
        0,
        List.of(targets),
        1,
        false,
        false,
        0,
        0,
        0,
        0,
        false);
  }

  @Test
  void splitsByWeight() {
    RouteSpec route = route(new RouteTarget("a", 90), new RouteTarget("b", 10));
    TrafficSplit split = new TrafficSplit();
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      counts.merge(split.next(route), 1, Integer::sum);
    }
    assertThat(counts).containsEntry("a", 270).containsEntry("b", 30);
  }

  @Test
  void skipsZeroWeightTarget() {
    RouteSpec route = route(new RouteTarget("a", 0), new RouteTarget("b", 1));
    TrafficSplit split = new TrafficSplit();
    for (int i = 0; i < 10; i++) {
      assertThat(split.next(route)).isEqualTo("b");
    }
  }
}
