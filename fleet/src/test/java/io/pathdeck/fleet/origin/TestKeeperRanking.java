package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestKeeperRanking {
  private static final int ZONES = 4;
  private static final int STREAMS = 4_000;

  private static List<FleetProcess> gateways(int count) {
    List<FleetProcess> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String zone = "z" + i % ZONES;
      gateways.add(new FleetProcess("g" + i, FleetRole.GATEWAY, zone, 0, 1, "h:" + i, "", true, 0));
    }
    return gateways;
  }

  private static List<FleetProcess> without(List<FleetProcess> gateways, FleetProcess one) {
    return gateways.stream().filter(gateway -> !gateway.equals(one)).toList();
  }

  @Test
  void firstKeepersAreInDifferentZones() {
    KeeperRanking ranking = new KeeperRanking(gateways(36));
    for (long stream = 0; stream < STREAMS; stream++) {
      Set<String> zones = new HashSet<>();
      ranking
          .first(stream, StreamOriginExchange.KEEPERS)
          .forEach(keeper -> zones.add(keeper.zone()));
      assertThat(zones).hasSize(StreamOriginExchange.KEEPERS);
    }
  }

  /** The gateway of each stream is lost, and others with it; a gateway that is left asks. */
  @ParameterizedTest
  @CsvSource({
    "9, 0, 1.0",
    "9, 0.34, 0.9",
    "9, 0.6, 0.7",
    "90, 0, 1.0",
    "90, 0.34, 0.9",
    "90, 0.6, 0.7"
  })
  void streamsAreKnownAfterLosses(int count, double lostShare, double minKnown) {
    Random random = new Random(1);
    List<FleetProcess> gateways = gateways(count);
    int known = 0;
    for (int i = 0; i < STREAMS; i++) {
      long stream = random.nextLong();
      List<FleetProcess> order = new ArrayList<>(gateways);
      Collections.shuffle(order, random);
      FleetProcess sender = order.get(0);
      FleetProcess reader = order.get(count - 1);
      int lostCount = Math.max(1, (int) Math.round(lostShare * count));
      Set<FleetProcess> lost = new HashSet<>(order.subList(0, lostCount));
      List<FleetProcess> told =
          new KeeperRanking(without(gateways, sender)).first(stream, StreamOriginExchange.KEEPERS);
      Set<FleetProcess> answering = new HashSet<>(told);
      answering.removeAll(lost);
      List<FleetProcess> asked =
          new KeeperRanking(without(gateways, reader))
              .first(stream, StreamOriginExchange.MAX_ASKED);
      boolean isKnown = answering.contains(reader) || asked.stream().anyMatch(answering::contains);
      known += isKnown ? 1 : 0;
    }
    double share = known / (double) STREAMS;
    assertThat(share).isGreaterThanOrEqualTo(minKnown);
  }
}
