package io.pathdeck.fleet.origin;

import io.pathdeck.protocol.fleet.FleetProcess;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks the gateways that keep the origin of a stream by rendezvous hashing, the same in all
 * gateways; immutable.
 *
 * <p>The first ones are in different zones, so that the loss of a zone leaves a keeper. A gateway
 * that comes or goes moves the others by one rank at most.
 */
final class KeeperRanking {
  private static final int NONE = -1;

  private final List<FleetProcess> gateways;
  private final long[] nameHashes;
  private final int[] zones;

  /** Creates the ranking of some gateways. */
  KeeperRanking(List<FleetProcess> gateways) {
    this.gateways = List.copyOf(gateways);
    this.nameHashes = new long[gateways.size()];
    this.zones = new int[gateways.size()];
    List<String> zoneNames = gateways.stream().map(FleetProcess::zone).distinct().toList();
    for (int i = 0; i < zones.length; i++) {
      byte[] name = gateways.get(i).name().getBytes(StandardCharsets.UTF_8);
      nameHashes[i] = LongHashFunction.xx3().hashBytes(name);
      zones[i] = zoneNames.indexOf(gateways.get(i).zone());
    }
  }

  /** Returns the first gateways, in the order in which they keep the stream. */
  List<FleetProcess> first(long stream, int count) {
    LongHashFunction hash = LongHashFunction.xx3(stream);
    long[] ranks = new long[zones.length];
    for (int i = 0; i < ranks.length; i++) {
      ranks[i] = hash.hashLong(nameHashes[i]);
    }
    boolean[] isTaken = new boolean[zones.length];
    int[] takenOfZone = new int[zones.length];
    List<FleetProcess> first = new ArrayList<>();
    while (first.size() < Math.min(count, zones.length)) {
      int next = next(ranks, isTaken, takenOfZone);
      isTaken[next] = true;
      takenOfZone[zones[next]]++;
      first.add(gateways.get(next));
    }
    return first;
  }

  /** Returns the highest rank in a zone of which the fewest are taken. */
  private int next(long[] ranks, boolean[] isTaken, int[] takenOfZone) {
    int best = NONE;
    for (int i = 0; i < ranks.length; i++) {
      if (!isTaken[i] && (best == NONE || precedes(i, best, ranks, takenOfZone))) {
        best = i;
      }
    }
    return best;
  }

  private boolean precedes(int one, int other, long[] ranks, int[] takenOfZone) {
    int inZoneOfOne = takenOfZone[zones[one]];
    int inZoneOfOther = takenOfZone[zones[other]];
    return inZoneOfOne == inZoneOfOther ? ranks[one] > ranks[other] : inZoneOfOne < inZoneOfOther;
  }
}
