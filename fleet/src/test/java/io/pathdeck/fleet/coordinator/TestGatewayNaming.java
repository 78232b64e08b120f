package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which gateways callers are told of. */
class TestGatewayNaming {
  private static final GatewayNaming HALF = new GatewayNaming(0.5);

  private static List<FleetProcess> gateways(int count) {
    List<FleetProcess> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      gateways.add(
          new FleetProcess(
              "front-" + i, FleetRole.GATEWAY, "z", 0, 1, "", "10.0.0." + i + ":80", true, 0));
    }
    return gateways;
  }

  @Test
  void aSmallFleetNamesAll() {
    assertThat(HALF.choose(gateways(GatewayNaming.MIN_NAMED))).hasSize(GatewayNaming.MIN_NAMED);
  }

  @Test
  void aShareOfManyIsNamedInAnyOrderTheSame() {
    List<FleetProcess> ready = gateways(47);
    List<FleetProcess> named = HALF.choose(ready);
    Collections.shuffle(ready, new Random(1));
    assertThat(named).hasSize(24);
    assertThat(HALF.choose(ready)).isEqualTo(named);
  }

  @Test
  void anotherTakesThePlaceOfOneThatIsLostAndTheOthersStay() {
    List<FleetProcess> ready = gateways(20);
    List<FleetProcess> named = HALF.choose(ready);
    ready.remove(named.get(3));
    List<FleetProcess> after = HALF.choose(ready);
    assertThat(after).hasSize(10).doesNotContain(named.get(3));
    assertThat(after).containsAll(named.stream().filter(g -> !g.equals(named.get(3))).toList());
  }
}
