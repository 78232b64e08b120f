package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.queue.EngineCapacity;
import io.pathdeck.fleet.queue.QueueDecision;
import io.pathdeck.fleet.queue.QueuePolicy;
import io.pathdeck.fleet.queue.RequestQueue;
import io.pathdeck.fleet.queue.RetryAfterSchedule;
import io.pathdeck.fleet.queue.ServiceTimes;
import io.pathdeck.fleet.queue.WaitingRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Sends requests to engines, at once or in the order of the queue of their service; confined to the
 * event loop.
 *
 * <p>Requests wait only where callers compete or engines tell their pace, and only while all
 * engines of the service are known to be full.
 */
final class RequestDispatcher {
  /** A small part of the time for which a request waits. */
  private static final long CHECK_INTERVAL_MS = 10;

  /** More than a gateway is sent in the time for which a request waits. */
  private static final int MAX_WAITING = 256;

  private static final long MAX_WAITING_BYTES = 16 << 20;

  /**
   * When requests wait.
   *
   * @param callersCompete whether the configuration lets callers compete
   * @param reportsPace whether an engine tells how fast it works at present
   */
  record QueueingRule(BooleanSupplier callersCompete, Predicate<EngineState> reportsPace) {
    /** Whether requests to these engines wait when there is no room. */
    boolean appliesTo(List<EngineState> engines) {
      return callersCompete.getAsBoolean() || engines.stream().anyMatch(reportsPace);
    }
  }

  /** Runs something later on the event loop. */
  interface Timer {
    void runAfter(long delayMs, Runnable action);
  }

  /** What is kept for one service. */
  private static final class ServiceState {
    final RequestQueue<Dispatchable> queue = new RequestQueue<>(MAX_WAITING, MAX_WAITING_BYTES);
    final ServiceTimes times = new ServiceTimes();
    final RetryAfterSchedule returnTimes = new RetryAfterSchedule();
  }

  private final EngineTable engines;
  private final QueueingRule queueingRule;
  private final Timer timer;
  private final LongSupplier clockMs;
  private final QueueMetrics metrics;
  private final Map<String, ServiceState> services = new HashMap<>();
  private boolean checkScheduled;
  private boolean dispatchScheduled;

  RequestDispatcher(
      EngineTable engines,
      QueueingRule when,
      Timer timer,
      LongSupplier clockMs,
      QueueMetrics metrics) {
    this.engines = engines;
    this.queueingRule = when;
    this.timer = timer;
    this.clockMs = clockMs;
    this.metrics = metrics;
  }

  /** Sends a request that does not wait yet, or lets it wait. */
  void submit(Dispatchable request) {
    Dispatchable.DispatchAttributes needs = request.attributes();
    List<EngineState> candidates = candidates(needs.service(), request.triedEngineIds());
    if (!queueingRule.appliesTo(candidates)) {
      request.sendTo(candidates);
      return;
    }
    ServiceState service = services.computeIfAbsent(needs.service(), added -> new ServiceState());
    QueueDecision decision = decide(service, needs, QueuePolicy.Request.NOT_HELD, candidates);
    if (decision instanceof QueueDecision.Reject reject) {
      rejectTooLate(service, request, reject);
      return;
    }
    long untilMs =
        decision instanceof QueueDecision.Hold wait ? wait.untilMs() : clockMs.getAsLong();
    enqueue(service, request, needs, untilMs);
    dispatch(service);
  }

  private void enqueue(
      ServiceState service,
      Dispatchable request,
      Dispatchable.DispatchAttributes needs,
      long holdUntilMs) {
    List<WaitingRequest<Dispatchable>> givenWay =
        service.queue.add(
            new WaitingRequest<>(
                request,
                needs.tenant(),
                needs.rank(),
                clockMs.getAsLong(),
                needs.dueMs(),
                holdUntilMs,
                needs.bytes(),
                needs.work()));
    for (WaitingRequest<Dispatchable> waiting : givenWay) {
      evict(service, waiting.request());
    }
  }

  /** A request that may have run cannot be rejected: it goes to an engine's queue. */
  private void evict(ServiceState service, Dispatchable request) {
    metrics.onEvicted();
    Dispatchable.DispatchAttributes needs = request.attributes();
    List<EngineState> candidates = candidates(needs.service(), request.triedEngineIds());
    if (needs.mayBeRejected()) {
      double waitMs = QueuePolicy.expectedWaitMs(rooms(candidates), service.times);
      reject(service, request, "too many requests wait", Math.round(waitMs));
    } else {
      request.sendTo(preferred(candidates));
    }
  }

  private void rejectTooLate(
      ServiceState service, Dispatchable request, QueueDecision.Reject decision) {
    metrics.onRejectedTooLate();
    reject(service, request, "no engine is free in time", decision.expectedWaitMs());
  }

  private void reject(
      ServiceState service, Dispatchable request, String reason, long expectedWaitMs) {
    long nowMs = clockMs.getAsLong();
    long timeLeftMs = request.attributes().deadlineMs() - nowMs;
    long retryAfterMs = service.returnTimes.retryAfterMs(expectedWaitMs, timeLeftMs, nowMs);
    request.reject(reason, retryAfterMs);
  }

  /** The caller has left, or its time is over. */
  void remove(Dispatchable request) {
    ServiceState service = services.get(request.attributes().service());
    if (service != null && service.queue.remove(request)) {
      updateWaitingGauge();
    }
  }

  /** An engine began an answer and told its load perhaps: there may be room. */
  void onFirstBytes(String service, AttemptTracker use) {
    ServiceState known = services.get(service);
    if (known != null && use.hadFreeSlot()) {
      known.times.onFirstBytes(use.timeToFirstByteMs());
    }
    scheduleDispatch();
  }

  /** A request has left its engine: there may be room. */
  void onSlotFreed(String service, AttemptTracker use) {
    ServiceState known = services.get(service);
    if (known != null && use.hasResponse()) {
      known.times.onSlotFreed(use.respondingMs(clockMs.getAsLong()));
    }
    scheduleDispatch();
  }

  private void scheduleDispatch() {
    if (!dispatchScheduled && hasWaitingRequests()) {
      dispatchScheduled = true;
      timer.runAfter(
          0,
          () -> {
            dispatchScheduled = false;
            dispatchAll();
          });
    }
  }

  private boolean hasWaitingRequests() {
    return services.values().stream().anyMatch(service -> !service.queue.isEmpty());
  }

  private void dispatchAll() {
    for (ServiceState service : List.copyOf(services.values())) {
      dispatch(service);
    }
  }

  /**
   * Sends waiting requests in their order while there is room or one has waited long enough. Those
   * before that one go too: engines' queues keep the order.
   */
  private void dispatch(ServiceState service) {
    Optional<WaitingRequest<Dispatchable>> next = service.queue.peek();
    while (next.isPresent() && sendIfReady(service, next.get())) {
      next = service.queue.peek();
    }
    updateWaitingGauge();
    scheduleCheck();
  }

  private boolean sendIfReady(ServiceState service, WaitingRequest<Dispatchable> next) {
    Dispatchable request = next.request();
    Dispatchable.DispatchAttributes needs = request.attributes();
    List<EngineState> candidates = candidates(needs.service(), request.triedEngineIds());
    QueueDecision decision = decide(service, needs, next.holdUntilMs(), candidates);
    boolean overdue = service.queue.hasExpiredHold(clockMs.getAsLong());
    if (decision instanceof QueueDecision.Hold && !overdue) {
      return false;
    }
    service.queue.poll();
    if (decision instanceof QueueDecision.Reject reject) {
      rejectTooLate(service, request, reject);
      return true;
    }
    if (clockMs.getAsLong() > next.waitingSinceMs()) {
      metrics.onSentAfterWait();
    }
    request.sendTo(preferred(candidates));
    return true;
  }

  private QueueDecision decide(
      ServiceState service,
      Dispatchable.DispatchAttributes needs,
      long holdUntilMs,
      List<EngineState> candidates) {
    QueuePolicy.Request request =
        new QueuePolicy.Request(
            needs.dueMs(), needs.deadlineMs(), holdUntilMs, needs.mayBeRejected());
    return QueuePolicy.decide(request, rooms(candidates), service.times, clockMs.getAsLong());
  }

  private List<EngineState> candidates(String service, Set<String> tried) {
    long nowMs = clockMs.getAsLong();
    List<EngineState> usable = engines.usable(service, tried, nowMs);
    return usable.isEmpty() ? engines.inService(service, tried, nowMs) : usable;
  }

  private List<EngineCapacity> rooms(List<EngineState> candidates) {
    return candidates.stream().map(this::room).toList();
  }

  /** The engines that may have room, or all when none may. */
  private List<EngineState> preferred(List<EngineState> candidates) {
    List<EngineState> notFull =
        candidates.stream().filter(engine -> !room(engine).isKnownFull()).toList();
    return notFull.isEmpty() ? candidates : notFull;
  }

  private EngineCapacity room(EngineState engine) {
    long nowMs = clockMs.getAsLong();
    return new EngineCapacity(
        engine.instance().slots(),
        engine.inFlight() + engine.peerCalls(),
        engine.estimatedLoad(nowMs),
        engine.loadAgeMs(nowMs));
  }

  private void updateWaitingGauge() {
    metrics.setWaiting(services.values().stream().mapToInt(each -> each.queue.size()).sum());
  }

  private void scheduleCheck() {
    if (!checkScheduled && hasWaitingRequests()) {
      checkScheduled = true;
      timer.runAfter(
          CHECK_INTERVAL_MS,
          () -> {
            checkScheduled = false;
            dispatchAll();
          });
    }
  }
}
