package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.Prompt;
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
 * Simulates batch items that share engines with online requests at a varying rate; times in
 * milliseconds. Gateways estimate the load of engines from their own calls; one store runs all
 * items and polls engines for their load. The gateways and the store may crash once and lose their
 * state, while engines continue to run calls.
 */
final class MixedLoadSimulation {
  static final double NO_CRASH = 0;

  private static final int GATEWAYS = 6;
  private static final int ENGINES = 8;
  private static final int SLOTS = 8;
  private static final long ARRIVALS_DURATION_MS = 54_000;
  private static final long PEAK_PERIOD_MS = 6_000;
  private static final long OFF_PEAK_DURATION_MS = 3_600;
  private static final double OFF_PEAK_REQUESTS_PER_MS = 0.0147;
  private static final double PEAK_REQUESTS_PER_MS = 0.072;
  private static final double EVENT_MS = 23.5;
  private static final double PREFILL_MS = 12;
  private static final int RESPONSE_EVENTS = 31;
  private static final long LATENCY_TARGET_MS = 300;
  private static final double JOBS_PER_MS = 0.00048;
  private static final int JOB_ITEMS = 10;
  private static final int ITEM_EVENTS = 216;
  private static final long ITEM_RUN_TARGET_MS = 18_000;
  private static final long STEP_MS = 20;
  private static final long YIELD_RETRY_DELAY_MS = 400;
  private static final double NETWORK_DELAY_MS = 2;
  private static final double REPORT_DELAY_MS = 50;
  private static final long GATEWAY_HALF_LIFE_MS = 250;
  private static final long STORE_HALF_LIFE_MS = 500;

  /** Number of events that a running item loses in a crash; about one recording interval. */
  private static final int UNRECORDED_EVENTS = 30;

  /** How long engines continue the calls of crashed processes. */
  private static final double ORPHAN_RUN_MS = 1_500;

  private static final Prompt PROMPT = new Prompt(450, "shared", 200);
  private static final List<String> ZONES = List.of("a", "b", "c");

  private record ScheduledAction(double atMs, long order, Runnable action) {}

  private static final class Call {
    final Runnable onStart;
    boolean running;
    boolean over;

    Call(Runnable onStart) {
      this.onStart = onStart;
    }
  }

  private static final class Engine {
    final Deque<Call> waitingCalls = new ArrayDeque<>();
    final List<Call> runningCalls = new ArrayList<>();

    void take(Call call) {
      if (runningCalls.size() < SLOTS) {
        start(call);
      } else {
        waitingCalls.add(call);
      }
    }

    private void start(Call call) {
      call.running = true;
      runningCalls.add(call);
      call.onStart.run();
    }

    void end(Call call) {
      if (call.over) {
        return;
      }
      call.over = true;
      waitingCalls.remove(call);
      runningCalls.remove(call);
      if (!waitingCalls.isEmpty() && runningCalls.size() < SLOTS) {
        start(waitingCalls.remove());
      }
    }
  }

  private static final class Item {
    final double dueMs;
    final int events;
    int eventsDone;
    EngineState engineState;
    Call call;
    double startedMs;
    double notBeforeMs;
    boolean complete;

    Item(double dueMs, int events) {
      this.dueMs = dueMs;
      this.events = events;
    }
  }

  private final SplittableRandom random;
  private final BatchSlotPolicy slotPolicy = new BatchSlotPolicy();
  private final double crashAtMs;
  private final double outageMs;
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledAction::atMs).thenComparing(ScheduledAction::order));
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<String, EngineInstance> instancesById = new HashMap<>();
  private final List<EngineTable> gatewayTables = new ArrayList<>();
  private final List<EngineLoadBalancer> gatewayBalancers = new ArrayList<>();
  private EngineTable storeTable = new EngineTable(STORE_HALF_LIFE_MS);
  private final EngineLoadBalancer storeBalancer;
  private final List<Item> items = new ArrayList<>();
  private double nowMs;
  private double leaderSinceMs;

  /** Changes at each crash and restart; distinguishes callbacks of earlier processes. */
  private int processGeneration;

  private double nextBusyPollMs;
  private double nextIdlePollMs;
  private long nextActionOrder;
  private int requests;
  private int lateRequests;
  private int peakRequests;
  private int latePeakRequests;
  private int lateItems;

  MixedLoadSimulation(long seed, double crashAtMs, double outageMs) {
    this.random = new SplittableRandom(seed);
    this.crashAtMs = crashAtMs;
    this.outageMs = outageMs;
    for (int i = 0; i < ENGINES; i++) {
      String id = "e" + i;
      engines.put(id, new Engine());
      instancesById.put(id, new EngineInstance(id, "s", "h:1", ZONES.get(i % 3), SLOTS, false));
    }
    for (int i = 0; i < GATEWAYS; i++) {
      gatewayTables.add(new EngineTable(GATEWAY_HALF_LIFE_MS));
      gatewayBalancers.add(new EngineLoadBalancer(ZONES.get(i % ZONES.size()), seed + i));
    }
    storeBalancer = new EngineLoadBalancer(ZONES.get(0), seed);
    resetProcesses();
  }

  private void resetProcesses() {
    processGeneration++;
    leaderSinceMs = nowMs;
    for (int i = 0; i < GATEWAYS; i++) {
      gatewayTables.set(i, new EngineTable(GATEWAY_HALF_LIFE_MS));
      gatewayTables.get(i).update(instancesById);
    }
    storeTable = new EngineTable(STORE_HALF_LIFE_MS);
    storeTable.update(instancesById);
  }

  MixedLoadResult run() {
    after(0, this::generateRequest);
    after(0, this::generateJob);
    after(0, this::step);
    if (crashAtMs > 0) {
      after(crashAtMs, this::crashAll);
      after(crashAtMs + outageMs, this::resetProcesses);
    }
    while (!scheduledActions.isEmpty()) {
      ScheduledAction next = scheduledActions.remove();
      nowMs = next.atMs();
      next.action().run();
    }
    return new MixedLoadResult(
        requests, lateRequests, peakRequests, latePeakRequests, items.size(), lateItems);
  }

  private void after(double delayMs, Runnable action) {
    scheduledActions.add(new ScheduledAction(nowMs + delayMs, nextActionOrder++, action));
  }

  private long clockMs() {
    return (long) nowMs;
  }

  private boolean isDown() {
    return crashAtMs > 0 && nowMs >= crashAtMs && nowMs < crashAtMs + outageMs;
  }

  private void crashAll() {
    processGeneration++;
    for (Item item : items) {
      if (item.call != null) {
        Engine engine = engines.get(item.engineState.instance().id());
        Call orphan = item.call;
        item.eventsDone = Math.max(item.eventsDone, eventsNow(item) - UNRECORDED_EVENTS);
        item.call = null;
        after(ORPHAN_RUN_MS, () -> engine.end(orphan));
      }
    }
  }

  // ---- online requests

  private boolean inPeak() {
    return nowMs % PEAK_PERIOD_MS >= OFF_PEAK_DURATION_MS;
  }

  private void generateRequest() {
    if (nowMs > ARRIVALS_DURATION_MS) {
      return;
    }
    double requestsPerMs = inPeak() ? PEAK_REQUESTS_PER_MS : OFF_PEAK_REQUESTS_PER_MS;
    after(-Math.log(1 - random.nextDouble()) / requestsPerMs, this::generateRequest);
    boolean isPeak = inPeak();
    if (isDown()) {
      // Callers retry when the processes are up again.
      after(crashAtMs + outageMs - nowMs + 500 * random.nextDouble(), () -> sendRequest(false));
    } else {
      sendRequest(isPeak);
    }
  }

  private void sendRequest(boolean isPeak) {
    int gateway = random.nextInt(GATEWAYS);
    List<EngineState> usableEngines =
        gatewayTables.get(gateway).usable("s", RequestConstraints.NONE, clockMs());
    Placement placement =
        gatewayBalancers.get(gateway).choose(usableEngines, PROMPT, clockMs()).orElseThrow();
    EngineState state = placement.engine();
    Engine engine = engines.get(state.instance().id());
    double sentMs = nowMs;
    requests++;
    peakRequests += isPeak ? 1 : 0;
    state.onStart(clockMs());
    state.onPromptSent(placement.prefillTokens());
    int expectedGeneration = processGeneration;
    Call[] call = new Call[1];
    double events = RESPONSE_EVENTS * (0.75 + 0.5 * random.nextDouble());
    call[0] =
        new Call(
            () -> {
              after(
                  PREFILL_MS + EVENT_MS,
                  () -> {
                    state.onPrefillDone(placement.prefillTokens());
                    state.onFirstBytes((long) (nowMs - sentMs), clockMs());
                    state.onLoadReport(load(engine), clockMs());
                    boolean isLate =
                        nowMs - sentMs > LATENCY_TARGET_MS
                            || expectedGeneration != processGeneration;
                    lateRequests += isLate ? 1 : 0;
                    latePeakRequests += isLate && isPeak ? 1 : 0;
                  });
              after(
                  PREFILL_MS + EVENT_MS * events,
                  () -> {
                    state.onEnd();
                    engine.end(call[0]);
                  });
            });
    after(NETWORK_DELAY_MS, () -> engine.take(call[0]));
  }

  private EngineLoadReport load(Engine engine) {
    return new EngineLoadReport(engine.runningCalls.size(), engine.waitingCalls.size(), SLOTS);
  }

  // ---- batch items

  private void generateJob() {
    if (nowMs > ARRIVALS_DURATION_MS) {
      return;
    }
    after(-Math.log(1 - random.nextDouble()) / JOBS_PER_MS, this::generateJob);
    int count = (int) Math.round(JOB_ITEMS * (0.6 + 0.8 * random.nextDouble()));
    for (int i = 0; i < count; i++) {
      int events = (int) (ITEM_EVENTS * (0.75 + 0.5 * random.nextDouble()));
      items.add(new Item(nowMs + ITEM_RUN_TARGET_MS, events));
    }
  }

  private void step() {
    boolean hasUnfinishedItems = items.stream().anyMatch(item -> !item.complete);
    if (nowMs > ARRIVALS_DURATION_MS && !hasUnfinishedItems) {
      return;
    }
    after(STEP_MS, this::step);
    if (isDown()) {
      return;
    }
    pollLoad();
    startItems();
  }

  private void pollLoad() {
    boolean itemsWait = items.stream().anyMatch(item -> !item.complete && item.call == null);
    boolean busyDue = nowMs >= nextBusyPollMs;
    boolean idleDue = itemsWait && nowMs >= nextIdlePollMs;
    for (EngineState state : storeTable.all()) {
      if (state.inFlight() > 0 ? busyDue : idleDue) {
        EngineLoadReport report = load(engines.get(state.instance().id()));
        int expectedGeneration = processGeneration;
        after(REPORT_DELAY_MS, () -> onReport(state, report, expectedGeneration));
      }
    }
    if (busyDue) {
      nextBusyPollMs = nowMs + LoadPolls.BUSY_POLL_INTERVAL_MS;
    }
    if (idleDue) {
      nextIdlePollMs = nowMs + LoadPolls.IDLE_POLL_INTERVAL_MS;
    }
  }

  private long slackMs(Item item) {
    int doneEvents = item.call == null ? item.eventsDone : eventsNow(item);
    return (long) (item.dueMs - nowMs - (item.events - doneEvents) * EVENT_MS);
  }

  private ItemUrgency urgency(Item item) {
    return ItemUrgency.of(slackMs(item));
  }

  private Comparator<Item> startOrder() {
    return Comparator.comparing(this::urgency).thenComparing(this::slackMs);
  }

  private Comparator<Item> yieldOrder() {
    return Comparator.comparing(this::urgency)
        .reversed()
        .thenComparing(item -> !item.call.running || nowMs - item.startedMs < ItemRun.MIN_RUN_MS)
        .thenComparing(startOrder().reversed());
  }

  private void onReport(EngineState state, EngineLoadReport report, int expectedGeneration) {
    if (expectedGeneration != processGeneration) {
      return;
    }
    state.onLoadReport(report, clockMs());
    items.stream()
        .filter(item -> item.call != null && item.engineState == state)
        .sorted(yieldOrder())
        .limit(slotPolicy.yieldCount(state, report, false))
        .toList()
        .forEach(this::stop);
  }

  private int eventsNow(Item item) {
    if (!item.call.running) {
      return item.eventsDone;
    }
    double ranMs = nowMs - item.startedMs - PREFILL_MS;
    return Math.min(item.events, item.eventsDone + (int) Math.max(0, ranMs / EVENT_MS));
  }

  private void stop(Item item) {
    item.eventsDone = eventsNow(item);
    Engine engine = engines.get(item.engineState.instance().id());
    Call call = item.call;
    after(NETWORK_DELAY_MS, () -> engine.end(call));
    item.engineState.onEnd();
    item.call = null;
    item.notBeforeMs = nowMs + YIELD_RETRY_DELAY_MS;
  }

  private void startItems() {
    long leadingForMs = (long) (nowMs - leaderSinceMs);
    double share = slotPolicy.rampUpShare(leadingForMs);
    List<Item> waitingItems =
        items.stream()
            .filter(item -> !item.complete && item.call == null && nowMs >= item.notBeforeMs)
            .sorted(startOrder())
            .toList();
    for (Item item : waitingItems) {
      List<EngineState> available =
          storeTable.usable("s", RequestConstraints.NONE, clockMs()).stream()
              .filter(state -> slotPolicy.isLoadKnown(state, leadingForMs, clockMs()))
              .filter(
                  state ->
                      slotPolicy.hasFreeSlot(
                          state, share, BatchSlotPolicy.RESERVED_SHARE, clockMs()))
              .toList();
      if (available.isEmpty()) {
        return;
      }
      start(
          item, storeBalancer.choose(available, Prompt.UNKNOWN, clockMs()).orElseThrow().engine());
    }
  }

  private void start(Item item, EngineState state) {
    Engine engine = engines.get(state.instance().id());
    item.engineState = state;
    state.onStart(clockMs());
    int expectedGeneration = processGeneration;
    Call[] call = new Call[1];
    call[0] =
        new Call(
            () -> {
              item.startedMs = nowMs;
              double runMs = PREFILL_MS + (item.events - item.eventsDone) * EVENT_MS;
              after(runMs, () -> end(item, engine, call[0], expectedGeneration));
            });
    item.call = call[0];
    after(
        NETWORK_DELAY_MS,
        () -> {
          if (!call[0].over && item.call == call[0]) {
            engine.take(call[0]);
          }
        });
  }

  private void end(Item item, Engine engine, Call call, int expectedGeneration) {
    if (call.over) {
      return;
    }
    engine.end(call);
    if (item.call != call || expectedGeneration != processGeneration) {
      return;
    }
    item.engineState.onEnd();
    item.call = null;
    item.complete = true;
    lateItems += nowMs > item.dueMs ? 1 : 0;
  }
}
