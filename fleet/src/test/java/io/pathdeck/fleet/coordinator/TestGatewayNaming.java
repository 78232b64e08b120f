package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which gateways callers are told of. */
class TestGatewayNaming {
  private static final GatewayNaming HALF = new GatewayNaming(0.5);

  private static final double SMALL = 0.25;
  private static final double LARGE = 1;

  private static List<FleetProcess> gateways(int count) {
    return gateways("front-", count, FleetProcess.CORES_UNKNOWN);
  }

  private static List<FleetProcess> gateways(String prefix, int count, double cores) {
    List<FleetProcess> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String address = "10.0.0." + i + ":80";
      gateways.add(
          new FleetProcess(prefix + i, FleetRole.GATEWAY, "z", 0, 1, "", address, true, 0, cores));
    }
    return gateways;
  }

  private static List<FleetProcess> zone(int large, int small) {
    List<FleetProcess> gateways = gateways("small-", small, SMALL);
    gateways.addAll(gateways("large-", large, LARGE));
    return gateways;
  }

  private static long countOf(List<FleetProcess> gateways, double cores) {
    return gateways.stream().filter(gateway -> gateway.cores() == cores).count();
  }

  /** What gateways bear that get as many requests each. */
  private static double borneCores(List<FleetProcess> named) {
    return named.size() * named.stream().mapToDouble(FleetProcess::cores).min().orElse(0);
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

  @Test
  void gatewaysOfEqualSizeAreNamedAsIfTheyToldNone() {
    for (int count : new int[] {1, 5, 6, 13, 47}) {
      List<String> untold = names(HALF.choose(gateways(count)));
      assertThat(names(HALF.choose(gateways("front-", count, SMALL)))).isEqualTo(untold);
    }
  }

  private static List<String> names(List<FleetProcess> gateways) {
    return gateways.stream().map(FleetProcess::name).toList();
  }

  @Test
  void oneThatTellsNoSizeMakesAllAsIfTheyToldNone() {
    List<FleetProcess> ready = zone(4, 13);
    ready.addAll(gateways(1));
    assertThat(HALF.choose(ready)).hasSize(9);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 12, 13, 16, 25})
  void largeGatewaysAloneAreNamedWhileTheyAreEnough(int small) {
    List<FleetProcess> named = HALF.choose(zone(4, small));
    assertThat(named).hasSize(4);
    assertThat(countOf(named, LARGE)).isEqualTo(4);
  }

  @Test
  void noMoreLargeGatewaysAreNamedThanAreNeeded() {
    assertThat(HALF.choose(zone(10, 13))).hasSize(GatewayNaming.MIN_NAMED_BY_SIZE);
    assertThat(HALF.choose(zone(10, 40))).hasSize(7);
  }

  @Test
  void coordinatorsThatListGatewaysInOtherOrdersNameTheSame() {
    for (int large = 0; large <= 4; large++) {
      List<FleetProcess> ready = zone(large, 13);
      List<FleetProcess> named = HALF.choose(ready);
      Collections.shuffle(ready, new Random(large));
      assertThat(HALF.choose(ready)).isEqualTo(named);
    }
  }

  @Test
  void smallGatewaysTakeThePlaceOfLargeOnesThatAreLost() {
    for (int large = 0; large < 4; large++) {
      List<FleetProcess> ready = zone(large, 13);
      List<FleetProcess> named = HALF.choose(ready);
      int before = Math.max(GatewayNaming.MIN_NAMED, (ready.size() + 1) / 2);
      assertThat(countOf(named, LARGE)).isEqualTo(large);
      assertThat(named).hasSize(before);
    }
  }

  @Test
  void afterTheLossOfAnyTwoTheOthersBearHalfOfWhatIsNeeded() {
    for (int large = 0; large <= 6; large++) {
      for (int small = 4; small <= 40; small++) {
        List<FleetProcess> ready = zone(large, small);
        List<FleetProcess> named = HALF.choose(ready);
        int before = Math.max(GatewayNaming.MIN_NAMED, (ready.size() + 1) / 2);
        double needed = Math.min(before, ready.size()) * SMALL;
        assertThat(borneCores(named)).isGreaterThanOrEqualTo(needed);
        assertThat(named.size()).isLessThanOrEqualTo(before);
        assertThat(borneCores(named.subList(2, named.size()))).isGreaterThanOrEqualTo(needed / 2);
      }
    }
  }

  @Test
  void aFewGatewaysAreAllNamedWhateverTheirSizes() {
    assertThat(HALF.choose(zone(1, 2))).hasSize(3);
    assertThat(HALF.choose(zone(2, 3))).hasSize(5);
    assertThat(HALF.choose(List.of())).isEmpty();
  }

  @Test
  void shareOfOneNamesAllUnlessLargeOnesBearAsMuch() {
    GatewayNaming all = new GatewayNaming(1);
    assertThat(all.choose(zone(4, 13))).hasSize(17);
    assertThat(all.choose(zone(4, 12))).hasSize(4);
  }
}
