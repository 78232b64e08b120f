package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.eligibility.ColdStartLimit;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.queue.Rank;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Uses one cold engine, and requests that are due 300 ms after their arrival. */
class TestColdEngineQueue {
  private static final long DUE_AFTER_MS = 300;
  private static final long DEADLINE_AFTER_MS = 5_000;

  private final List<Runnable> timers = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private long nowMs = 1_000;
  private long freeAtMs = 1_050;
  private int freeSends = 1;
  private boolean hasTenantPolicies;

  /** Allows some sends from a certain time on. */
  private final ColdStartLimit limit =
      new ColdStartLimit() {
        @Override
        public boolean allows(EngineInstance engine, long atMs) {
          return sendsAllowedUntil(engine, atMs, atMs) > 0;
        }

        @Override
        public void onStart(EngineInstance engine, long atMs) {
          freeSends--;
        }

        @Override
        public int sendsAllowedUntil(EngineInstance engine, long untilMs, long atMs) {
          return untilMs >= freeAtMs ? freeSends : 0;
        }
      };

  private final EngineTable engines =
      new EngineTable(250, new EngineEligibility(Topology.UNKNOWN, limit));
  private final RequestDispatcher dispatcher =
      new RequestDispatcher(
          engines,
          new RequestDispatcher.QueueingRule(() -> hasTenantPolicies, engine -> false),
          (delayMs, action) -> timers.add(action),
          () -> nowMs,
          new QueueMetrics());

  private final class FakeRequest implements Dispatchable {
    private final String name;
    private final boolean mayBeRejected;
    private final long startMs = nowMs;

    FakeRequest(String name, boolean mayBeRejected) {
      this.name = name;
      this.mayBeRejected = mayBeRejected;
    }

    @Override
    public DispatchAttributes attributes() {
      return new DispatchAttributes(
          "s",
          "",
          new Rank(false, 0, 0),
          startMs + DUE_AFTER_MS,
          startMs + DEADLINE_AFTER_MS,
          10,
          1,
          mayBeRejected);
    }

    @Override
    public RequestConstraints constraints() {
      return RequestConstraints.NONE;
    }

    @Override
    public void sendTo(List<EngineState> candidates) {
      events.add(name + (candidates.isEmpty() ? " unserved" : " sent"));
      candidates.forEach(engine -> engine.onStart(nowMs));
    }

    @Override
    public void reject(String reason, long retryAfterMs) {
      events.add(name + " rejected");
    }
  }

  @BeforeEach
  void listEngine() {
    engines.update(Map.of("e", new EngineInstance("e", "s", "h:1", "z", 8, false, 1, 3_000)));
  }

  private FakeRequest submit(String name, boolean mayBeRejected) {
    FakeRequest request = new FakeRequest(name, mayBeRejected);
    dispatcher.submit(request);
    return request;
  }

  private void runTimersAt(long timeMs) {
    nowMs = timeMs;
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    due.forEach(Runnable::run);
  }

  @Test
  void requestWaitsUntilColdEngineTakesIt() {
    submit("r", true);
    assertThat(events).isEmpty();
    runTimersAt(1_040);
    assertThat(events).isEmpty();
    runTimersAt(1_050);
    assertThat(events).containsExactly("r sent");
  }

  @Test
  void requestIsRejectedAtOnceIfLimitLeavesNothingInTime() {
    freeAtMs = 1_200;
    submit("r", true);
    assertThat(events).containsExactly("r rejected");
  }

  @Test
  void requestBehindOthersIsRejectedAtOnce() {
    submit("r1", true);
    submit("r2", true);
    assertThat(events).containsExactly("r2 rejected");
  }

  @Test
  void waitEndsWhenItIsWorthNoMore() {
    submit("r", true);
    freeSends = 0;
    runTimersAt(1_074);
    assertThat(events).isEmpty();
    runTimersAt(1_075);
    assertThat(events).containsExactly("r rejected");
  }

  @Test
  void requestThatMayHaveRunWaitsLongerAndIsNotRejected() {
    freeAtMs = 3_000;
    submit("r", false);
    runTimersAt(2_999);
    assertThat(events).isEmpty();
    runTimersAt(3_000);
    assertThat(events).containsExactly("r sent");
  }

  @Test
  void requestThatMayHaveRunEndsUnserved() {
    freeAtMs = 10_000;
    submit("r", false);
    assertThat(events).containsExactly("r unserved");
  }

  @Test
  void removedRequestIsNotSent() {
    FakeRequest request = submit("r", true);
    dispatcher.remove(request);
    runTimersAt(1_060);
    assertThat(events).isEmpty();
  }

  @Test
  void requestFromFullQueueWaitsForColdEngine() {
    hasTenantPolicies = true;
    submit("r", true);
    runTimersAt(1_050);
    assertThat(events).containsExactly("r sent");
  }
}
