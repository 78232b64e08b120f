package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.queue.EngineRoom;
import io.pathdeck.fleet.queue.QueueDecision;
import io.pathdeck.fleet.queue.QueuePolicy;
import io.pathdeck.fleet.queue.RequestQueue;
import io.pathdeck.fleet.queue.ReturnTimes;
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
   * @param tellsPace whether an engine tells how fast it works at present
   */
  record Switch(BooleanSupplier callersCompete, Predicate<EngineState> tellsPace) {
    /** Whether requests to these engines wait when there is no room. */
    boolean isOn(List<EngineState> engines) {
      return callersCompete.getAsBoolean() || engines.stream().anyMatch(tellsPace);
    }
  }

  /** Runs something later on the event loop. */
  interface Timer {
    void runAfter(long delayMs, Runnable action);
  }

  /** What is kept for one service. */
  private static final class Service {
    final RequestQueue<Dispatchable> queue = new RequestQueue<>(MAX_WAITING, MAX_WAITING_BYTES);
    final ServiceTimes times = new ServiceTimes();
    final ReturnTimes returnTimes = new ReturnTimes();
  }

  private final EngineTable engines;
  private final Switch when;
  private final Timer timer;
  private final LongSupplier clockMs;
  private final QueueMetrics metrics;
  private final Map<String, Service> services = new HashMap<>();
  private boolean checkPlanned;
  private boolean dispatchPlanned;

  RequestDispatcher(
      EngineTable engines, Switch when, Timer timer, LongSupplier clockMs, QueueMetrics metrics) {
    this.engines = engines;
    this.when = when;
    this.timer = timer;
    this.clockMs = clockMs;
    this.metrics = metrics;
  }

  /** Sends a request that does not wait yet, or lets it wait. */
  void submit(Dispatchable request) {
    Dispatchable.Needs needs = request.needs();
    List<EngineState> candidates = candidates(needs.service(), request.tried());
    if (!when.isOn(candidates)) {
      request.sendTo(candidates);
      return;
    }
    Service service = services.computeIfAbsent(needs.service(), added -> new Service());
    QueueDecision decision = decide(service, needs, QueuePolicy.Request.NOT_HELD, candidates);
    if (decision instanceof QueueDecision.Reject reject) {
      rejectHopeless(service, request, reject);
      return;
    }
    long untilMs =
        decision instanceof QueueDecision.Wait wait ? wait.untilMs() : clockMs.getAsLong();
    enqueue(service, request, needs, untilMs);
    dispatch(service);
  }

  private void enqueue(
      Service service, Dispatchable request, Dispatchable.Needs needs, long holdUntilMs) {
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
      giveWay(service, waiting.request());
    }
  }

  /** A request that may have run cannot be rejected: it goes to an engine's queue. */
  private void giveWay(Service service, Dispatchable request) {
    metrics.onGivenWay();
    Dispatchable.Needs needs = request.needs();
    List<EngineState> candidates = candidates(needs.service(), request.tried());
    if (needs.mayBeRejected()) {
      double waitMs = QueuePolicy.expectedWaitMs(rooms(candidates), service.times);
      reject(service, request, "too many requests wait", Math.round(waitMs));
    } else {
      request.sendTo(preferred(candidates));
    }
  }

  private void rejectHopeless(
      Service service, Dispatchable request, QueueDecision.Reject decision) {
    metrics.onHopeless();
    reject(service, request, "no engine is free in time", decision.expectedWaitMs());
  }

  private void reject(Service service, Dispatchable request, String reason, long expectedWaitMs) {
    long nowMs = clockMs.getAsLong();
    long timeLeftMs = request.needs().deadlineMs() - nowMs;
    long retryAfterMs = service.returnTimes.retryAfterMs(expectedWaitMs, timeLeftMs, nowMs);
    request.reject(reason, retryAfterMs);
  }

  /** The caller has left, or its time is over. */
  void remove(Dispatchable request) {
    Service service = services.get(request.needs().service());
    if (service != null && service.queue.remove(request)) {
      noteWaiting();
    }
  }

  /** An engine began an answer and told its load perhaps: there may be room. */
  void onFirstBytes(String service, EngineUse use) {
    Service known = services.get(service);
    if (known != null && use.foundRoom()) {
      known.times.onFirstBytes(use.firstAfterMs());
    }
    dispatchSoon();
  }

  /** A request has left its engine: there may be room. */
  void onPlaceFreed(String service, EngineUse use) {
    Service known = services.get(service);
    if (known != null && use.hasBegun()) {
      known.times.onPlaceFreed(use.answeringMs(clockMs.getAsLong()));
    }
    dispatchSoon();
  }

  private void dispatchSoon() {
    if (!dispatchPlanned && anyWaits()) {
      dispatchPlanned = true;
      timer.runAfter(
          0,
          () -> {
            dispatchPlanned = false;
            dispatchAll();
          });
    }
  }

  private boolean anyWaits() {
    return services.values().stream().anyMatch(service -> !service.queue.isEmpty());
  }

  private void dispatchAll() {
    for (Service service : List.copyOf(services.values())) {
      dispatch(service);
    }
  }

  /**
   * Sends waiting requests in their order while there is room or one has waited long enough. Those
   * before that one go too: engines' queues keep the order.
   */
  private void dispatch(Service service) {
    Optional<WaitingRequest<Dispatchable>> next = service.queue.peek();
    while (next.isPresent() && sendIfMayGo(service, next.get())) {
      next = service.queue.peek();
    }
    noteWaiting();
    planCheck();
  }

  private boolean sendIfMayGo(Service service, WaitingRequest<Dispatchable> next) {
    Dispatchable request = next.request();
    Dispatchable.Needs needs = request.needs();
    List<EngineState> candidates = candidates(needs.service(), request.tried());
    QueueDecision decision = decide(service, needs, next.holdUntilMs(), candidates);
    boolean overdue = service.queue.hasOverdue(clockMs.getAsLong());
    if (decision instanceof QueueDecision.Wait && !overdue) {
      return false;
    }
    service.queue.poll();
    if (decision instanceof QueueDecision.Reject reject) {
      rejectHopeless(service, request, reject);
      return true;
    }
    if (clockMs.getAsLong() > next.sinceMs()) {
      metrics.onSentAfterWait();
    }
    request.sendTo(preferred(candidates));
    return true;
  }

  private QueueDecision decide(
      Service service, Dispatchable.Needs needs, long holdUntilMs, List<EngineState> candidates) {
    QueuePolicy.Request request =
        new QueuePolicy.Request(
            needs.dueMs(), needs.deadlineMs(), holdUntilMs, needs.mayBeRejected());
    return QueuePolicy.decide(request, rooms(candidates), service.times, clockMs.getAsLong());
  }

  private List<EngineState> candidates(String service, Set<String> tried) {
    long nowMs = clockMs.getAsLong();
    List<EngineState> usable = engines.usable(service, tried, nowMs);
    return usable.isEmpty() ? engines.listed(service, tried, nowMs) : usable;
  }

  private List<EngineRoom> rooms(List<EngineState> candidates) {
    return candidates.stream().map(this::room).toList();
  }

  /** The engines that may have room, or all when none may. */
  private List<EngineState> preferred(List<EngineState> candidates) {
    List<EngineState> notFull =
        candidates.stream().filter(engine -> !room(engine).isKnownFull()).toList();
    return notFull.isEmpty() ? candidates : notFull;
  }

  private EngineRoom room(EngineState engine) {
    long nowMs = clockMs.getAsLong();
    return new EngineRoom(
        engine.instance().slots(),
        engine.inFlight() + engine.peerCalls(),
        engine.estimatedLoad(nowMs),
        engine.loadAgeMs(nowMs));
  }

  private void noteWaiting() {
    metrics.setWaiting(services.values().stream().mapToInt(each -> each.queue.size()).sum());
  }

  private void planCheck() {
    if (!checkPlanned && anyWaits()) {
      checkPlanned = true;
      timer.runAfter(
          CHECK_INTERVAL_MS,
          () -> {
            checkPlanned = false;
            dispatchAll();
          });
    }
  }
}
