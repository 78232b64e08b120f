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

class TestGatewaySelector {
  private static final GatewaySelector HALF_SELECTOR = new GatewaySelector(0.5);

  private static final double SMALL_CORES = 0.25;
  private static final double LARGE_CORES = 1;

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
    List<FleetProcess> gateways = gateways("small-", small, SMALL_CORES);
    gateways.addAll(gateways("large-", large, LARGE_CORES));
    return gateways;
  }

  private static long countWithCores(List<FleetProcess> gateways, double cores) {
    return gateways.stream().filter(gateway -> gateway.cores() == cores).count();
  }

  /** Returns the total capacity of gateways that get the same number of requests each. */
  private static double capacityInCores(List<FleetProcess> selected) {
    return selected.size() * selected.stream().mapToDouble(FleetProcess::cores).min().orElse(0);
  }

  @Test
  void smallFleetSelectsAll() {
    assertThat(HALF_SELECTOR.select(gateways(GatewaySelector.MIN_SELECTED)))
        .hasSize(GatewaySelector.MIN_SELECTED);
  }

  @Test
  void selectsSameShareInAnyOrder() {
    List<FleetProcess> ready = gateways(47);
    List<FleetProcess> selected = HALF_SELECTOR.select(ready);
    Collections.shuffle(ready, new Random(1));
    assertThat(selected).hasSize(24);
    assertThat(HALF_SELECTOR.select(ready)).isEqualTo(selected);
  }

  @Test
  void replacesLostGatewayAndKeepsOthers() {
    List<FleetProcess> ready = gateways(20);
    List<FleetProcess> selected = HALF_SELECTOR.select(ready);
    ready.remove(selected.get(3));
    List<FleetProcess> selectedAfterLoss = HALF_SELECTOR.select(ready);
    assertThat(selectedAfterLoss).hasSize(10).doesNotContain(selected.get(3));
    assertThat(selectedAfterLoss)
        .containsAll(
            selected.stream().filter(gateway -> !gateway.equals(selected.get(3))).toList());
  }

  @Test
  void equalSizesSelectLikeUnknownSizes() {
    for (int count : new int[] {1, 5, 6, 13, 47}) {
      List<String> expected = names(HALF_SELECTOR.select(gateways(count)));
      assertThat(names(HALF_SELECTOR.select(gateways("front-", count, SMALL_CORES))))
          .isEqualTo(expected);
    }
  }

  private static List<String> names(List<FleetProcess> gateways) {
    return gateways.stream().map(FleetProcess::name).toList();
  }

  @Test
  void oneUnknownSizeDisablesSelectionBySize() {
    List<FleetProcess> ready = zone(4, 13);
    ready.addAll(gateways(1));
    assertThat(HALF_SELECTOR.select(ready)).hasSize(9);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 12, 13, 16, 25})
  void selectsOnlyLargeGatewaysWhenSufficient(int small) {
    List<FleetProcess> selected = HALF_SELECTOR.select(zone(4, small));
    assertThat(selected).hasSize(4);
    assertThat(countWithCores(selected, LARGE_CORES)).isEqualTo(4);
  }

  @Test
  void selectsNoMoreLargeGatewaysThanNeeded() {
    assertThat(HALF_SELECTOR.select(zone(10, 13))).hasSize(GatewaySelector.MIN_SELECTED_BY_SIZE);
    assertThat(HALF_SELECTOR.select(zone(10, 40))).hasSize(7);
  }

  @Test
  void mixedSizesSelectSameInAnyOrder() {
    for (int large = 0; large <= 4; large++) {
      List<FleetProcess> ready = zone(large, 13);
      List<FleetProcess> selected = HALF_SELECTOR.select(ready);
      Collections.shuffle(ready, new Random(large));
      assertThat(HALF_SELECTOR.select(ready)).isEqualTo(selected);
    }
  }

  @Test
  void smallGatewaysReplaceLostLargeOnes() {
    for (int large = 0; large < 4; large++) {
      List<FleetProcess> ready = zone(large, 13);
      List<FleetProcess> selected = HALF_SELECTOR.select(ready);
      int usualCount = Math.max(GatewaySelector.MIN_SELECTED, (ready.size() + 1) / 2);
      assertThat(countWithCores(selected, LARGE_CORES)).isEqualTo(large);
      assertThat(selected).hasSize(usualCount);
    }
  }

  @Test
  void losingTwoLeavesHalfTheNeededCapacity() {
    for (int large = 0; large <= 6; large++) {
      for (int small = 4; small <= 40; small++) {
        List<FleetProcess> ready = zone(large, small);
        List<FleetProcess> selected = HALF_SELECTOR.select(ready);
        int usualCount = Math.max(GatewaySelector.MIN_SELECTED, (ready.size() + 1) / 2);
        double needed = Math.min(usualCount, ready.size()) * SMALL_CORES;
        assertThat(capacityInCores(selected)).isGreaterThanOrEqualTo(needed);
        assertThat(selected.size()).isLessThanOrEqualTo(usualCount);
        assertThat(capacityInCores(selected.subList(2, selected.size())))
            .isGreaterThanOrEqualTo(needed / 2);
      }
    }
  }

  @Test
  void fewGatewaysOfAnySizeAreAllSelected() {
    assertThat(HALF_SELECTOR.select(zone(1, 2))).hasSize(3);
    assertThat(HALF_SELECTOR.select(zone(2, 3))).hasSize(5);
    assertThat(HALF_SELECTOR.select(List.of())).isEmpty();
  }

  @Test
  void shareOneSelectsAllUnlessLargeSuffice() {
    GatewaySelector all = new GatewaySelector(1);
    assertThat(all.select(zone(4, 13))).hasSize(17);
    assertThat(all.select(zone(4, 12))).hasSize(4);
  }
}
