package io.pathdeck.fleet.origin;

import io.pathdeck.protocol.fleet.FleetProcess;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks the gateways that keep the origin of a stream by rendezvous hashing, the same in all
 * gateways; has no state.
 *
 * <p>The first ones are in different zones, so that the loss of a zone leaves a keeper. A gateway
 * that comes or goes moves the others by one rank at most.
 */
final class KeeperRanking {
  private record Ranked(FleetProcess gateway, long hash) {}

  private KeeperRanking() {}

  /** Returns the gateways in the order in which they keep the stream. */
  static List<FleetProcess> rank(long stream, Collection<FleetProcess> gateways) {
    List<Ranked> byHash = new ArrayList<>();
    for (FleetProcess gateway : gateways) {
      byHash.add(new Ranked(gateway, hash(stream, gateway.name())));
    }
    byHash.sort(Comparator.comparingLong(Ranked::hash).reversed());
    Map<String, Integer> seenInZone = new HashMap<>();
    Map<FleetProcess, Integer> rounds = new HashMap<>();
    for (Ranked ranked : byHash) {
      int round = seenInZone.merge(ranked.gateway().zone(), 1, Integer::sum);
      rounds.put(ranked.gateway(), round);
    }
    byHash.sort(Comparator.comparingInt(ranked -> rounds.get(ranked.gateway())));
    return byHash.stream().map(Ranked::gateway).toList();
  }

  private static long hash(long stream, String name) {
    return LongHashFunction.xx3(stream).hashBytes(name.getBytes(StandardCharsets.UTF_8));
  }
}
