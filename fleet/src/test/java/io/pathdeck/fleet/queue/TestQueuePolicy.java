package io.pathdeck.fleet.queue;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.queue.QueuePolicy.Request;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestQueuePolicy {
  private static final int SLOTS = 8;
  private static final EngineCapacity FULL_ENGINE = new EngineCapacity(SLOTS, 0, SLOTS + 1, 50);
  private static final long DUE_MS = 300;
  private static final long FIRST_BYTE_MS = 60;
  private static final long SLOT_TIME_MS = 200;

  private final ServiceTimes times = times();

  private static ServiceTimes times() {
    ServiceTimes times = new ServiceTimes();
    times.onFirstBytes(FIRST_BYTE_MS);
    times.onSlotFreed(SLOT_TIME_MS);
    return times;
  }

  private static Request newRequest(long deadlineMs) {
    return new Request(DUE_MS, deadlineMs, Request.NOT_HELD, true);
  }

  private QueueDecision decide(Request request, EngineCapacity... engines) {
    return QueuePolicy.decide(request, List.of(engines), times, 0);
  }

  @Test
  void sendsUnlessAllEnginesKnownFull() {
    QueueDecision send = new QueueDecision.Send();
    EngineCapacity notFull = new EngineCapacity(SLOTS, 0, SLOTS, 50);
    EngineCapacity staleReport = new EngineCapacity(SLOTS, 0, SLOTS + 5, 5_000);
    EngineCapacity noReport = new EngineCapacity(SLOTS, 0, SLOTS + 5, -1);
    EngineCapacity unknownSlots = new EngineCapacity(0, 9, 9, 50);
    assertThat(decide(newRequest(5_000), FULL_ENGINE, notFull)).isEqualTo(send);
    assertThat(decide(newRequest(5_000), FULL_ENGINE, staleReport)).isEqualTo(send);
    assertThat(decide(newRequest(5_000), FULL_ENGINE, noReport)).isEqualTo(send);
    assertThat(decide(newRequest(5_000), FULL_ENGINE, unknownSlots)).isEqualTo(send);
    assertThat(decide(newRequest(5_000))).isEqualTo(send);
  }

  @Test
  void holdsForHalfOfSpareTime() {
    long halfOfSpareMs = (DUE_MS - FIRST_BYTE_MS) / 2;
    assertThat(decide(newRequest(5_000), FULL_ENGINE, FULL_ENGINE))
        .isEqualTo(new QueueDecision.Hold(halfOfSpareMs));
    Request heldRequest = new Request(DUE_MS, 5_000, halfOfSpareMs, true);
    assertThat(QueuePolicy.decide(heldRequest, List.of(FULL_ENGINE), times, halfOfSpareMs))
        .isEqualTo(new QueueDecision.Send());
  }

  @Test
  void gatewayLoadAloneShowsFullEngine() {
    EngineCapacity fullByGatewayLoad = new EngineCapacity(SLOTS, SLOTS + 1, SLOTS + 1, -1);
    assertThat(decide(newRequest(5_000), fullByGatewayLoad)).isInstanceOf(QueueDecision.Hold.class);
  }

  @Test
  void rejectsOnlyIfNoEngineMeetsDeadline() {
    EngineCapacity overloadedEngine = new EngineCapacity(SLOTS, 0, SLOTS * 11 - 1, 50);
    long waitMs = 10 * SLOT_TIME_MS;
    assertThat(decide(newRequest(waitMs - 1), overloadedEngine))
        .isEqualTo(new QueueDecision.Reject(waitMs));
    assertThat(decide(newRequest(waitMs), overloadedEngine)).isInstanceOf(QueueDecision.Hold.class);
    assertThat(decide(newRequest(waitMs - 1), overloadedEngine, FULL_ENGINE))
        .isInstanceOf(QueueDecision.Hold.class);
    Request mayHaveRun = new Request(DUE_MS, waitMs - 1, Request.NOT_HELD, false);
    assertThat(decide(mayHaveRun, overloadedEngine)).isInstanceOf(QueueDecision.Hold.class);
  }

  /** On one engine, a flood of one tenant arrives before four requests of another. */
  @Test
  void otherTenantsFloodDoesNotDelaySmallTenant() {
    assertThat(smallTenantRequestsOnTime(false)).isEqualTo(0);
    assertThat(smallTenantRequestsOnTime(true)).isEqualTo(4);
  }

  private int smallTenantRequestsOnTime(boolean useRequestQueue) {
    RequestQueue<Integer> queue = new RequestQueue<>(256, Long.MAX_VALUE);
    Deque<Integer> engineQueue = new ArrayDeque<>();
    List<Long> slotsFreeAtMs = new ArrayList<>();
    int smallTenantOnTime = 0;
    for (long nowMs = 0; nowMs < 2_000; nowMs++) {
      long now = nowMs;
      slotsFreeAtMs.removeIf(freeAtMs -> freeAtMs <= now);
      if (nowMs < 30 || (nowMs >= 60 && nowMs < 64)) {
        arrive((int) nowMs, useRequestQueue, queue, engineQueue);
      }
      while (maySend(queue, engineQueue.size() + slotsFreeAtMs.size(), nowMs)) {
        engineQueue.add(queue.poll().orElseThrow().request());
      }
      while (slotsFreeAtMs.size() < SLOTS && !engineQueue.isEmpty()) {
        int arrivedMs = engineQueue.poll();
        slotsFreeAtMs.add(nowMs + SLOT_TIME_MS);
        boolean onTime = nowMs + FIRST_BYTE_MS <= arrivedMs + DUE_MS;
        smallTenantOnTime += arrivedMs >= 60 && onTime ? 1 : 0;
      }
    }
    return smallTenantOnTime;
  }

  private void arrive(
      int nowMs, boolean useRequestQueue, RequestQueue<Integer> queue, Deque<Integer> engineQueue) {
    if (!useRequestQueue) {
      engineQueue.add(nowMs);
      return;
    }
    String tenant = nowMs < 30 ? "hot" : "small";
    Request request = new Request(nowMs + DUE_MS, nowMs + 5_000, Request.NOT_HELD, true);
    QueueDecision decision = QueuePolicy.decide(request, List.of(FULL_ENGINE), times, nowMs);
    long untilMs = ((QueueDecision.Hold) decision).untilMs();
    Rank rank = new Rank(false, 0, 0);
    queue.add(new WaitingRequest<>(nowMs, tenant, rank, nowMs, nowMs + DUE_MS, untilMs, 1, 1));
  }

  private boolean maySend(RequestQueue<Integer> queue, int load, long nowMs) {
    boolean isFull = new EngineCapacity(SLOTS, load, load, 0).isKnownFull();
    return !queue.isEmpty() && (!isFull || queue.hasExpiredHold(nowMs));
  }
}
