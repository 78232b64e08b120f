package io.pathdeck.fleet.load;

import static io.pathdeck.fleet.load.SendSchedule.Recipients.ACTIVE;
import static io.pathdeck.fleet.load.SendSchedule.Recipients.ALL;
import static io.pathdeck.fleet.load.SendSchedule.Recipients.NONE;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class TestSendSchedule {
  private static final Map<Long, Integer> ONE_CALL = Map.of(7L, 1);
  private static final Map<Long, Integer> TWO_CALLS = Map.of(7L, 2);

  private final SendSchedule schedule = new SendSchedule();

  @Test
  void idleProcessSendsNothing() {
    assertThat(schedule.onInterval(Map.of(), 3, 0)).isEqualTo(NONE);
    assertThat(schedule.onInterval(Map.of(), 3, 10_000)).isEqualTo(NONE);
  }

  @Test
  void startsAreSentImmediately() {
    assertThat(schedule.onCallStart(ONE_CALL, 3, 0)).isEqualTo(ALL);
    assertThat(schedule.onCallStart(TWO_CALLS, 3, 1)).isEqualTo(ACTIVE);
    assertThat(schedule.onCallStart(ONE_CALL, 3, 1_000)).isEqualTo(ALL);
  }

  @Test
  void startsBeyondBudgetAreDelayed() {
    for (int i = 0; i < SendSchedule.BURST; i++) {
      schedule.onCallStart(ONE_CALL, 20, 0);
    }
    assertThat(schedule.onCallStart(TWO_CALLS, 20, 99)).isEqualTo(NONE);
    assertThat(schedule.onCallStart(TWO_CALLS, 20, 100)).isEqualTo(ACTIVE);
  }

  @Test
  void endsAreSentAtIntervals() {
    schedule.onCallStart(TWO_CALLS, 3, 0);
    assertThat(schedule.onInterval(ONE_CALL, 3, 49)).isEqualTo(NONE);
    assertThat(schedule.onInterval(ONE_CALL, 3, 50)).isEqualTo(ACTIVE);
  }

  @Test
  void unchangedCountsAreRefreshed() {
    schedule.onCallStart(ONE_CALL, 3, 0);
    assertThat(schedule.onInterval(ONE_CALL, 3, 99)).isEqualTo(NONE);
    assertThat(schedule.onInterval(ONE_CALL, 3, 100)).isEqualTo(ACTIVE);
  }

  @Test
  void endOfLastCallIsSentOnce() {
    schedule.onCallStart(ONE_CALL, 3, 0);
    assertThat(schedule.onInterval(Map.of(), 3, 50)).isEqualTo(ACTIVE);
    assertThat(schedule.onInterval(Map.of(), 3, 500)).isEqualTo(NONE);
  }

  @Test
  void receivedRateIsBounded() {
    for (int activePeers : new int[] {1, 5, 30, 180, 360}) {
      int sent = datagramsSentIn(10_000, activePeers);
      assertThat(sent * activePeers / 10.0)
          .isLessThanOrEqualTo(200 + SendSchedule.BURST * activePeers / 10.0);
    }
  }

  private static int datagramsSentIn(long lengthMs, int activePeers) {
    SendSchedule schedule = new SendSchedule();
    int sent = 0;
    for (long nowMs = 0; nowMs < lengthMs; nowMs++) {
      Map<Long, Integer> calls = Map.of(7L, (int) nowMs + 1);
      sent += schedule.onCallStart(calls, activePeers, nowMs) == NONE ? 0 : 1;
      sent += schedule.onInterval(calls, activePeers, nowMs) == NONE ? 0 : 1;
    }
    return sent;
  }

  @Test
  void ttlCoversTwoLostDatagrams() {
    assertThat(SendSchedule.ttlMs(4)).isEqualTo(250);
    assertThat(SendSchedule.ttlMs(20)).isEqualTo(500);
    assertThat(SendSchedule.ttlMs(360)).isEqualTo(LoadDatagram.MAX_TTL_MS);
  }
}
