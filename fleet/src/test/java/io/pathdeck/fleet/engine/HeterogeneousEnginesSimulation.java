package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates streams on fast and slow engines; each gateway chooses engines by the responses to its
 * own calls only. Times are in milliseconds.
 */
final class HeterogeneousEnginesSimulation {
  private static final int GATEWAYS = 25;
  private static final int FAST_ENGINES = 40;
  private static final int ENGINES = 62;
  private static final int SLOTS = 8;
  private static final int EVENTS_PER_STREAM = 20;
  private static final double FAST_EVENT_MS = 27;
  private static final double SLOW_EVENT_MS = 75;
  private static final double PREFILL_MS = 9;
  private static final long LATENCY_TARGET_MS = 305;
  private static final long DURATION_MS = 40_000;
  private static final long PEAK_PERIOD_MS = 6_600;
  private static final long PEAK_DURATION_MS = 2_800;
  private static final double OFF_PEAK_REQUESTS_PER_MS = 0.15;
  private static final double PEAK_REQUESTS_PER_MS = 0.54;
  private static final long REPORT_HALF_LIFE_MS = 250;
  private static final Prompt PROMPT = new Prompt(450, "shared", 200);
  private static final List<String> ZONES = List.of("a", "b", "c");

  /** Numbers of requests; a late one got its first event after the latency target. */
  record Result(int served, int late, int servedBySlow, int lateAtSlow) {
    double lateShare() {
      return late / (double) served;
    }
  }

  private record ScheduledAction(double atMs, long order, Runnable action) {}

  private static final class Engine {
    private final double msPerEvent;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;

    Engine(double msPerEvent) {
      this.msPerEvent = msPerEvent;
    }

    void submit(Runnable begin) {
      if (running < SLOTS) {
        running++;
        begin.run();
      } else {
        waiting.add(begin);
      }
    }

    void release() {
      if (waiting.isEmpty()) {
        running--;
      } else {
        waiting.remove().run();
      }
    }
  }

  private final SplittableRandom random;
  private final boolean reportsPace;
  private final PriorityQueue<ScheduledAction> eventQueue =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledAction::atMs).thenComparing(ScheduledAction::order));
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<EngineTable> tables = new ArrayList<>();
  private final List<EngineLoadBalancer> loadBalancers = new ArrayList<>();
  private double nowMs;
  private long order;
  private int served;
  private int late;
  private int servedBySlow;
  private int lateAtSlow;

  HeterogeneousEnginesSimulation(long seed, boolean reportsPace) {
    this.random = new SplittableRandom(seed);
    this.reportsPace = reportsPace;
    Map<String, EngineInstance> listed = new HashMap<>();
    for (int i = 0; i < ENGINES; i++) {
      String id = "e" + i;
      engines.put(id, new Engine(i < FAST_ENGINES ? FAST_EVENT_MS : SLOW_EVENT_MS));
      String zone = ZONES.get(i % ZONES.size());
      listed.put(id, new EngineInstance(id, "s", "h:1", zone, SLOTS, false));
    }
    for (int i = 0; i < GATEWAYS; i++) {
      EngineTable table = new EngineTable(REPORT_HALF_LIFE_MS);
      table.update(listed);
      tables.add(table);
      loadBalancers.add(new EngineLoadBalancer(ZONES.get(i % ZONES.size()), seed + i));
    }
  }

  Result run() {
    schedule(0, this::arrive);
    while (!eventQueue.isEmpty()) {
      ScheduledAction next = eventQueue.remove();
      nowMs = next.atMs();
      next.action().run();
    }
    return new Result(served, late, servedBySlow, lateAtSlow);
  }

  private void schedule(double delayMs, Runnable action) {
    eventQueue.add(new ScheduledAction(nowMs + delayMs, order++, action));
  }

  private long clockMs() {
    return (long) nowMs;
  }

  private void arrive() {
    if (nowMs > DURATION_MS) {
      return;
    }
    double requestsPerMs =
        nowMs % PEAK_PERIOD_MS < PEAK_DURATION_MS ? PEAK_REQUESTS_PER_MS : OFF_PEAK_REQUESTS_PER_MS;
    schedule(-Math.log(1 - random.nextDouble()) / requestsPerMs, this::arrive);
    int gateway = random.nextInt(GATEWAYS);
    List<EngineState> usable = tables.get(gateway).usable("s", RequestConstraints.NONE, clockMs());
    Placement placement =
        loadBalancers.get(gateway).choose(usable, PROMPT, clockMs()).orElseThrow();
    EngineState state = placement.engine();
    Engine engine = engines.get(state.instance().id());
    double sentMs = nowMs;
    state.onStart(clockMs());
    state.onPromptSent(placement.prefillTokens());
    engine.submit(() -> begin(state, engine, sentMs, placement.prefillTokens()));
  }

  private void begin(EngineState state, Engine engine, double sentMs, long tokens) {
    double factor = 0.85 + 0.3 * random.nextDouble();
    double msPerEvent = engine.msPerEvent * factor;
    schedule(PREFILL_MS * engine.msPerEvent / FAST_EVENT_MS, () -> state.onPrefillDone(tokens));
    schedule(
        PREFILL_MS * engine.msPerEvent / FAST_EVENT_MS + msPerEvent,
        () -> {
          state.onFirstBytes((long) (nowMs - sentMs), clockMs());
          int pace = reportsPace ? (int) (100 * factor) : EngineLoadReport.PACE_UNKNOWN;
          EngineLoadReport load =
              new EngineLoadReport(
                  engine.running, engine.waiting.size(), SLOTS, EngineInstance.BORN_UNKNOWN, pace);
          state.onLoadReport(load, clockMs());
          countServed(engine, nowMs - sentMs > LATENCY_TARGET_MS);
          double restMs = (EVENTS_PER_STREAM - 1) * msPerEvent;
          schedule(restMs, () -> end(state, engine, (long) restMs));
        });
  }

  private void countServed(Engine engine, boolean isLate) {
    boolean isSlow = engine.msPerEvent == SLOW_EVENT_MS;
    served++;
    late += isLate ? 1 : 0;
    servedBySlow += isSlow ? 1 : 0;
    lateAtSlow += isSlow && isLate ? 1 : 0;
  }

  private void end(EngineState state, Engine engine, long spanMs) {
    state.pace().onStream(EVENTS_PER_STREAM - 1, spanMs, clockMs());
    state.onEnd();
    engine.release();
  }
}
