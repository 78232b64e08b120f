package io.pathdeck.fleet.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestPeerLoads {
  private static final long A = 1;
  private static final long B = 2;
  private static final long ENGINE = 70;
  private static final int TTL_MS = 250;

  private final PeerLoads peers = new PeerLoads();

  TestPeerLoads() {
    peers.setKnownPeers(Set.of(A, B));
  }

  private boolean receive(long sender, long incarnation, long sequence, int calls, long nowMs) {
    Map<Long, Integer> callsByEngine = calls == 0 ? Map.of() : Map.of(ENGINE, calls);
    return peers.accept(
        new LoadDatagram(sender, incarnation, sequence, TTL_MS, callsByEngine), nowMs);
  }

  @Test
  void newestCountsOfPeersAreSummed() {
    receive(A, 1, 1, 3, 0);
    receive(B, 1, 1, 2, 0);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(5);
    receive(A, 1, 2, 0, 10);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(2);
  }

  @Test
  void staleAndDuplicateDatagramsAreIgnored() {
    receive(A, 1, 5, 3, 0);
    assertThat(receive(A, 1, 4, 9, 1)).isFalse();
    assertThat(receive(A, 1, 5, 9, 2)).isFalse();
    assertThat(peers.callsAt(ENGINE)).isEqualTo(3);
  }

  @Test
  void newIncarnationReplacesCounts() {
    receive(A, 1, 500, 3, 0);
    assertThat(receive(A, 2, 1, 1, 10)).isTrue();
    assertThat(peers.callsAt(ENGINE)).isEqualTo(1);
  }

  @Test
  void countsExpireAfterTtl() {
    receive(A, 1, 1, 3, 0);
    receive(B, 1, 1, 2, 100);
    peers.expire(TTL_MS - 1);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(5);
    peers.expire(TTL_MS);
    peers.expire(TTL_MS);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(2);
  }

  @Test
  void resumedPeerCountsAgain() {
    receive(A, 1, 1, 3, 0);
    peers.expire(1_000);
    receive(A, 1, 2, 1, 1_000);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(1);
  }

  @Test
  void unknownPeersAreIgnored() {
    receive(A, 1, 1, 3, 0);
    assertThat(receive(99, 1, 1, 3, 0)).isFalse();
    peers.setKnownPeers(Set.of(B));
    assertThat(peers.callsAt(ENGINE)).isZero();
  }

  @Test
  void silentPeerBecomesInactive() {
    receive(A, 1, 1, 0, 0);
    assertThat(peers.activePeers(PeerLoads.ACTIVE_MS - 1)).containsExactly(A);
    assertThat(peers.activePeers(PeerLoads.ACTIVE_MS)).isEmpty();
  }
}
