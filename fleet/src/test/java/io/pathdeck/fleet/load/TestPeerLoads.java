package io.pathdeck.fleet.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestPeerLoads {
  private static final long A = 1;
  private static final long B = 2;
  private static final long ENGINE = 70;
  private static final int HOLD_MS = 250;

  private final PeerLoads peers = new PeerLoads();

  TestPeerLoads() {
    peers.setKnown(Set.of(A, B));
  }

  private boolean tell(long sender, long life, long sequence, int calls, long nowMs) {
    Map<Long, Integer> told = calls == 0 ? Map.of() : Map.of(ENGINE, calls);
    return peers.accept(new LoadDatagram(sender, life, sequence, HOLD_MS, told), nowMs);
  }

  @Test
  void callsOfPeersAddUpAndTheNewestCountsOfEachHold() {
    tell(A, 1, 1, 3, 0);
    tell(B, 1, 1, 2, 0);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(5);
    tell(A, 1, 2, 0, 10);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(2);
  }

  @Test
  void datagramsThatWereOvertakenOrComeTwiceChangeNothing() {
    tell(A, 1, 5, 3, 0);
    assertThat(tell(A, 1, 4, 9, 1)).isFalse();
    assertThat(tell(A, 1, 5, 9, 2)).isFalse();
    assertThat(peers.callsAt(ENGINE)).isEqualTo(3);
  }

  @Test
  void anotherLifeOfThePeerBeginsAnew() {
    tell(A, 1, 500, 3, 0);
    assertThat(tell(A, 2, 1, 1, 10)).isTrue();
    assertThat(peers.callsAt(ENGINE)).isEqualTo(1);
  }

  @Test
  void aSilentPeerCountsNoLongerThanItsDatagramHolds() {
    tell(A, 1, 1, 3, 0);
    tell(B, 1, 1, 2, 100);
    peers.expire(HOLD_MS - 1);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(5);
    peers.expire(HOLD_MS);
    peers.expire(HOLD_MS);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(2);
  }

  @Test
  void aPeerThatWasSuspendedCountsAgainWithItsNextDatagram() {
    tell(A, 1, 1, 3, 0);
    peers.expire(1_000);
    tell(A, 1, 2, 1, 1_000);
    assertThat(peers.callsAt(ENGINE)).isEqualTo(1);
  }

  @Test
  void onlyKnownProcessesCount() {
    tell(A, 1, 1, 3, 0);
    assertThat(tell(99, 1, 1, 3, 0)).isFalse();
    peers.setKnown(Set.of(B));
    assertThat(peers.callsAt(ENGINE)).isZero();
  }

  @Test
  void aPeerIsActiveForSomeSeconds() {
    tell(A, 1, 1, 0, 0);
    assertThat(peers.active(PeerLoads.ACTIVE_MS - 1)).containsExactly(A);
    assertThat(peers.active(PeerLoads.ACTIVE_MS)).isEmpty();
  }
}
