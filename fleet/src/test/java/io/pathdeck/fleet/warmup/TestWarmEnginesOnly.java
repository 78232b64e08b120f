package io.pathdeck.fleet.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.ServiceLimits;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An engine is listed as cold until {@value #WARM_MS} ms. */
class TestWarmEnginesOnly {
  private static final long COLD_MS = 3_000;
  private static final long WARM_MS = 1_500;
  private static final long FIRST_LIFE = 1;
  private static final long SECOND_LIFE = 2;
  private static final EngineInstance ENGINE =
      new EngineInstance("e", "s", "h:1", "z", 8, false, FIRST_LIFE, WARM_MS);

  private final WarmEnginesOnly limit = new WarmEnginesOnly();

  @BeforeEach
  void list() {
    ServiceLimits limits = new ServiceLimits("s", 0, 8, 0, COLD_MS, 3);
    byte[] none = new byte[0];
    RouteTable routes =
        new RouteTable(1, List.of(), List.of(limits), CallerLimits.NONE, List.of(), none, none);
    FleetView view =
        new FleetView(
            routes,
            Map.of("e", ENGINE),
            Map.of(),
            List.of(),
            List.of(),
            FleetProcess.NO_GROUP,
            List.of(),
            QuarantineList.NONE,
            EvacuatedZones.NONE);
    limit.onChange(view, 0);
  }

  @Test
  void coldEngineGetsNoItems() {
    limit.onReport(ENGINE, FIRST_LIFE, WARM_MS - 1);
    assertThat(limit.allows(ENGINE, WARM_MS - 1)).isFalse();
  }

  @Test
  void engineThatReportsOnceItIsWarmGetsItems() {
    limit.onReport(ENGINE, FIRST_LIFE, WARM_MS);
    assertThat(limit.allows(ENGINE, WARM_MS)).isTrue();
  }

  @Test
  void engineThatRestartsUnseenWhileColdIsColdAgain() {
    assertThat(limit.allows(ENGINE, WARM_MS)).isFalse();
    limit.onReport(ENGINE, SECOND_LIFE, WARM_MS + 100);
    limit.onReport(ENGINE, SECOND_LIFE, WARM_MS + 200);
    assertThat(limit.allows(ENGINE, WARM_MS + 100 + COLD_MS - 1)).isFalse();
    limit.onReport(ENGINE, SECOND_LIFE, WARM_MS + 100 + COLD_MS);
    assertThat(limit.allows(ENGINE, WARM_MS + 100 + COLD_MS)).isTrue();
  }

  @Test
  void warmEngineThatRestartsUnseenIsCold() {
    limit.onReport(ENGINE, FIRST_LIFE, WARM_MS);
    limit.onReport(ENGINE, SECOND_LIFE, 10_000);
    assertThat(limit.allows(ENGINE, 10_000)).isFalse();
  }

  @Test
  void engineThatNeverReportsGetsItemsOnceTheListWouldShowARestart() {
    assertThat(limit.allows(ENGINE, WARM_MS + ColdEngine.LIST_DELAY_MS - 1)).isFalse();
    assertThat(limit.allows(ENGINE, WARM_MS + ColdEngine.LIST_DELAY_MS)).isTrue();
  }
}
