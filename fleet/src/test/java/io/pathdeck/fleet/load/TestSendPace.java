package io.pathdeck.fleet.load;

import static io.pathdeck.fleet.load.SendPace.Receivers.ACTIVE;
import static io.pathdeck.fleet.load.SendPace.Receivers.ALL;
import static io.pathdeck.fleet.load.SendPace.Receivers.NONE;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class TestSendPace {
  private static final Map<Long, Integer> ONE = Map.of(7L, 1);
  private static final Map<Long, Integer> TWO = Map.of(7L, 2);

  private final SendPace pace = new SendPace();

  @Test
  void aProcessWithoutCallsSaysNothing() {
    assertThat(pace.onInterval(Map.of(), 3, 0)).isEqualTo(NONE);
    assertThat(pace.onInterval(Map.of(), 3, 10_000)).isEqualTo(NONE);
  }

  @Test
  void startsAreToldAtOnceToAllAtFirstAndThenToActivePeers() {
    assertThat(pace.onStart(ONE, 3, 0)).isEqualTo(ALL);
    assertThat(pace.onStart(TWO, 3, 1)).isEqualTo(ACTIVE);
    assertThat(pace.onStart(ONE, 3, 1_000)).isEqualTo(ALL);
  }

  @Test
  void startsBeyondTheBudgetWaitForTheNextInterval() {
    for (int i = 0; i < SendPace.BURST; i++) {
      pace.onStart(ONE, 20, 0);
    }
    assertThat(pace.onStart(TWO, 20, 99)).isEqualTo(NONE);
    assertThat(pace.onStart(TWO, 20, 100)).isEqualTo(ACTIVE);
  }

  @Test
  void endsAreToldAtIntervals() {
    pace.onStart(TWO, 3, 0);
    assertThat(pace.onInterval(ONE, 3, 49)).isEqualTo(NONE);
    assertThat(pace.onInterval(ONE, 3, 50)).isEqualTo(ACTIVE);
  }

  @Test
  void unchangedCountsAreToldAgainBeforeTheyLapse() {
    pace.onStart(ONE, 3, 0);
    assertThat(pace.onInterval(ONE, 3, 99)).isEqualTo(NONE);
    assertThat(pace.onInterval(ONE, 3, 100)).isEqualTo(ACTIVE);
  }

  @Test
  void theEndOfTheLastCallIsToldOnce() {
    pace.onStart(ONE, 3, 0);
    assertThat(pace.onInterval(Map.of(), 3, 50)).isEqualTo(ACTIVE);
    assertThat(pace.onInterval(Map.of(), 3, 500)).isEqualTo(NONE);
  }

  @Test
  void activePeersSendAtMostAboutTwoHundredDatagramsASecond() {
    for (int active : new int[] {1, 5, 30, 180, 360}) {
      int sent = sentIn(10_000, active);
      assertThat(sent * active / 10.0).isLessThanOrEqualTo(200 + SendPace.BURST * active / 10.0);
    }
  }

  private static int sentIn(long lengthMs, int active) {
    SendPace pace = new SendPace();
    int sent = 0;
    for (long nowMs = 0; nowMs < lengthMs; nowMs++) {
      Map<Long, Integer> calls = Map.of(7L, (int) nowMs + 1);
      sent += pace.onStart(calls, active, nowMs) == NONE ? 0 : 1;
      sent += pace.onInterval(calls, active, nowMs) == NONE ? 0 : 1;
    }
    return sent;
  }

  @Test
  void countsOutlastTwoLostDatagrams() {
    assertThat(SendPace.holdMs(4)).isEqualTo(250);
    assertThat(SendPace.holdMs(20)).isEqualTo(500);
    assertThat(SendPace.holdMs(360)).isEqualTo(LoadDatagram.MAX_HOLD_MS);
  }
}
