package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.queue.Rank;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Uses one full engine, and requests that are due 300 ms after their arrival. */
class TestRequestDispatcher {
  private static final String SERVICE = "s";
  private static final int SLOTS = 2;
  private static final long DUE_AFTER_MS = 300;

  private final EngineTable engines = new EngineTable(250);
  private final List<Runnable> timers = new ArrayList<>();
  private final List<String> sent = new ArrayList<>();
  private final List<String> rejected = new ArrayList<>();
  private boolean hasTenantPolicies = true;
  private final List<String> withoutEngine = new ArrayList<>();
  private boolean enginesReportPace;
  private boolean paused;
  private long nowMs = 1_000;
  private final RequestDispatcher dispatcher =
      new RequestDispatcher(
          engines,
          new RequestDispatcher.QueueingRule(() -> hasTenantPolicies, engine -> enginesReportPace),
          (delayMs, action) -> timers.add(action),
          () -> nowMs,
          new QueueMetrics());

  private final class FakeRequest implements Dispatchable {
    private final String name;
    private final String tenant;
    private final long deadlineMs;

    FakeRequest(String name, String tenant, long timeLeftMs) {
      this.name = name;
      this.tenant = tenant;
      this.deadlineMs = nowMs + timeLeftMs;
    }

    @Override
    public DispatchAttributes attributes() {
      Rank rank = new Rank(false, 0, 0);
      long dueMs = deadlineMs - 5_000 + DUE_AFTER_MS;
      return new DispatchAttributes(SERVICE, tenant, rank, dueMs, deadlineMs, 10, 1, true);
    }

    @Override
    public RequestConstraints constraints() {
      return RequestConstraints.NONE;
    }

    @Override
    public void sendTo(List<EngineState> candidates) {
      if (candidates.isEmpty()) {
        withoutEngine.add(name);
        return;
      }
      sent.add(name);
      candidates.get(0).onStart(nowMs);
    }

    @Override
    public void reject(String reason, long retryAfterMs) {
      rejected.add(name);
    }
  }

  private EngineState engine() {
    return engines.find("e");
  }

  private FakeRequest submit(String name, String tenant) {
    FakeRequest request = new FakeRequest(name, tenant, 5_000);
    dispatcher.submit(request);
    return request;
  }

  private void fillEngine() {
    engines.update(Map.of("e", new EngineInstance("e", SERVICE, "h:1", "z", SLOTS, false)));
    for (int i = 0; i <= SLOTS; i++) {
      engine().onStart(nowMs);
    }
  }

  private void runTimers() {
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    due.forEach(Runnable::run);
  }

  /** Completes a request that held its slot for {@code heldMs}. */
  private void freeSlot(long heldMs) {
    AttemptTracker attempt = new AttemptTracker(new Placement(engine(), 0), nowMs - heldMs);
    attempt.onFirstBytes(40, null, nowMs - heldMs);
    attempt.end();
    dispatcher.onSlotFreed(SERVICE, attempt);
    runTimers();
  }

  @Test
  void sendsImmediatelyWithoutTenantPolicies() {
    hasTenantPolicies = false;
    fillEngine();
    submit("a", "t");
    assertThat(sent).containsExactly("a");
    assertThat(timers).isEmpty();
  }

  @Test
  void queuesWhenEnginesReportPace() {
    hasTenantPolicies = false;
    enginesReportPace = true;
    fillEngine();
    submit("a", "t");
    assertThat(sent).isEmpty();
  }

  @Test
  void sendsImmediatelyWhenLoadIsUnknown() {
    engines.update(Map.of("e", new EngineInstance("e", SERVICE, "h:1", "z", SLOTS, false)));
    submit("a", "t");
    assertThat(sent).containsExactly("a");
  }

  @Test
  void freedSlotsAlternateBetweenTenants() {
    fillEngine();
    submit("hot1", "hot");
    submit("hot2", "hot");
    submit("hot3", "hot");
    submit("small", "small");
    freeSlot(100);
    freeSlot(100);
    assertThat(sent).containsExactly("hot1", "small");
  }

  @Test
  void freeCapacitySendsQueuedRequests() {
    engines.update(Map.of("e", new EngineInstance("e", SERVICE, "h:1", "z", SLOTS, false)));
    engine().onLoadReport(new EngineLoadReport(SLOTS, 4, SLOTS), nowMs);
    submit("a", "t");
    assertThat(sent).isEmpty();
    engine().onLoadReport(new EngineLoadReport(0, 0, SLOTS), nowMs);
    runTimers();
    assertThat(sent).containsExactly("a");
  }

  @Test
  void sendsToFullEngineAfterMaximumWait() {
    fillEngine();
    submit("a", "t");
    nowMs += DUE_AFTER_MS / 2 - 1;
    runTimers();
    assertThat(sent).isEmpty();
    nowMs += 1;
    runTimers();
    assertThat(sent).containsExactly("a");
    assertThat(timers).isEmpty();
  }

  @Test
  void removedRequestIsNeverSent() {
    fillEngine();
    FakeRequest removed = submit("left", "t");
    submit("stays", "t");
    dispatcher.remove(removed);
    nowMs += DUE_AFTER_MS;
    runTimers();
    assertThat(sent).containsExactly("stays");
    assertThat(rejected).isEmpty();
  }

  @Test
  void rejectsRequestThatWouldMissDeadline() {
    fillEngine();
    submit("a", "t");
    freeSlot(4_000);
    submit("hopeless", "t");
    assertThat(rejected).isEmpty();
    dispatcher.submit(new FakeRequest("hopeless", "t", 1_000));
    assertThat(rejected).containsExactly("hopeless");
    assertThat(sent).containsExactly("a");
  }

  @Test
  void fullQueueRejectsFloodingTenant() {
    fillEngine();
    submit("small", "small");
    for (int i = 0; i < 300; i++) {
      submit("hot" + i, "hot");
    }
    assertThat(rejected).hasSize(45).allMatch(name -> name.startsWith("hot"));
    nowMs += DUE_AFTER_MS;
    runTimers();
    assertThat(sent).hasSize(256).contains("small").doesNotContainAnyElementsOf(rejected);
  }

  private void evacuate(String zone) {
    engines.eligibility().setEvacuatedZones(new EvacuatedZones(1, List.of(zone)));
  }

  @Test
  void queuedRequestIsNotSentToEvacuatedZone() {
    fillEngine();
    submit("a", "t");
    evacuate("z");
    runTimers();
    assertThat(sent).isEmpty();
    assertThat(withoutEngine).containsExactly("a");
  }

  @Test
  void newRequestIsNotQueuedWithoutEligibleEngine() {
    fillEngine();
    submit("queued", "t");
    evacuate("z");
    submit("new", "t");
    assertThat(withoutEngine).containsExactly("new");
  }

  @Test
  void nothingIsSentWhilePaused() {
    engines.update(Map.of("e", new EngineInstance("e", SERVICE, "h:1", "z", SLOTS, false)));
    dispatcher.setSendingPaused(() -> paused);
    paused = true;
    submit("a", "t");
    FakeRequest left = submit("left", "t");
    dispatcher.remove(left);
    runTimers();
    assertThat(sent).isEmpty();
    paused = false;
    runTimers();
    assertThat(sent).containsExactly("a");
  }

  @Test
  void queuedRequestIsNotSentWhilePaused() {
    fillEngine();
    submit("a", "t");
    dispatcher.setSendingPaused(() -> paused);
    paused = true;
    nowMs += DUE_AFTER_MS;
    freeSlot(100);
    assertThat(sent).isEmpty();
    paused = false;
    runTimers();
    assertThat(sent).containsExactly("a");
  }
}
