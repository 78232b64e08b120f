package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.eligibility.RequestConstraints;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Sends requests to engines, immediately or in the order of their service's queue; confined to the
 * event loop.
 *
 * <p>Requests are queued only if the configuration has tenant policies or an engine reports its
 * pace, and only while all engines of the service are known to be full.
 */
final class RequestDispatcher {
  /**
   * Interval of checks for expired hold times and missed deadlines; short compared with the time
   * that requests spend in the queue.
   */
  private static final long CHECK_INTERVAL_MS = 10;

  /** More requests for a service than a gateway receives while one of them is queued. */
  private static final int MAX_WAITING = 256;

  private static final long MAX_WAITING_BYTES = 16 << 20;

  /**
   * Decides whether requests are queued.
   *
   * @param hasTenantPolicies whether the configuration declares tenants with limits or priorities
   * @param reportsPace whether an engine reports its current pace
   */
  record QueueingRule(BooleanSupplier hasTenantPolicies, Predicate<EngineState> reportsPace) {
    /** Returns whether requests to these engines are queued when all are full. */
    boolean appliesTo(List<EngineState> engines) {
      return hasTenantPolicies.getAsBoolean() || engines.stream().anyMatch(reportsPace);
    }
  }

  /** Schedules actions on the event loop. */
  interface Timer {
    void runAfter(long delayMs, Runnable action);
  }

  /** Queue and statistics of one service. */
  private static final class ServiceState {
    final RequestQueue<Dispatchable> queue = new RequestQueue<>(MAX_WAITING, MAX_WAITING_BYTES);
    final ServiceTimes times = new ServiceTimes();
    final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule();
  }

  private final EngineTable engines;
  private final QueueingRule queueingRule;
  private final Timer timer;
  private final LongSupplier clockMs;
  private final QueueMetrics metrics;
  private final Map<String, ServiceState> services = new HashMap<>();
  private final ColdEngineQueue coldEngineQueue;
  private final Set<Dispatchable> heldBack = new LinkedHashSet<>();
  private BooleanSupplier sendingPaused = () -> false;
  private boolean checkScheduled;
  private boolean dispatchScheduled;

  RequestDispatcher(
      EngineTable engines,
      QueueingRule queueingRule,
      Timer timer,
      LongSupplier clockMs,
      QueueMetrics metrics) {
    this.engines = engines;
    this.queueingRule = queueingRule;
    this.timer = timer;
    this.clockMs = clockMs;
    this.metrics = metrics;
    this.coldEngineQueue = new ColdEngineQueue(engines, metrics, this::rejectForColdEngines);
  }

  /** Sets a condition under which nothing is sent, since the known state may be out of date. */
  void setSendingPaused(BooleanSupplier condition) {
    sendingPaused = condition;
  }

  /** Sends, queues or rejects a request that is not in the queue. */
  void submit(Dispatchable request) {
    if (sendingPaused.getAsBoolean()) {
      coldEngineQueue.remove(request);
      heldBack.add(request);
      scheduleCheck();
      return;
    }
    Dispatchable.DispatchAttributes attributes = request.attributes();
    List<EngineState> candidates = candidates(attributes.service(), request.constraints());
    if (candidates.isEmpty() && coldEngineQueue.offer(request, clockMs.getAsLong())) {
      scheduleCheck();
      return;
    }
    coldEngineQueue.remove(request);
    if (candidates.isEmpty() || !queueingRule.appliesTo(candidates)) {
      request.sendTo(candidates);
      return;
    }
    ServiceState service =
        services.computeIfAbsent(attributes.service(), name -> new ServiceState());
    QueueDecision decision = decide(service, attributes, QueuePolicy.Request.NOT_HELD, candidates);
    if (decision instanceof QueueDecision.Reject rejection) {
      rejectTooLate(service, request, rejection);
      return;
    }
    long untilMs =
        decision instanceof QueueDecision.Hold wait ? wait.untilMs() : clockMs.getAsLong();
    enqueue(service, request, attributes, untilMs);
    dispatch(service);
  }

  private void enqueue(
      ServiceState service,
      Dispatchable request,
      Dispatchable.DispatchAttributes attributes,
      long holdUntilMs) {
    List<WaitingRequest<Dispatchable>> evicted =
        service.queue.add(
            new WaitingRequest<>(
                request,
                attributes.tenant(),
                attributes.rank(),
                clockMs.getAsLong(),
                attributes.dueMs(),
                holdUntilMs,
                attributes.bytes(),
                attributes.work()));
    for (WaitingRequest<Dispatchable> entry : evicted) {
      evict(service, entry.request());
    }
  }

  /**
   * Rejects a request that the full queue has removed. A request that may have run cannot be
   * rejected and is sent to an engine immediately.
   */
  private void evict(ServiceState service, Dispatchable request) {
    metrics.onEvicted();
    Dispatchable.DispatchAttributes attributes = request.attributes();
    List<EngineState> candidates = candidates(attributes.service(), request.constraints());
    if (attributes.mayBeRejected()) {
      double waitMs = QueuePolicy.expectedWaitMs(capacities(candidates), service.times);
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
    long retryAfterMs = service.retryAfterSchedule.retryAfterMs(expectedWaitMs, timeLeftMs, nowMs);
    request.reject(reason, retryAfterMs);
  }

  private void rejectForColdEngines(Dispatchable request, long expectedWaitMs) {
    ServiceState service =
        services.computeIfAbsent(request.attributes().service(), name -> new ServiceState());
    reject(service, request, "cold engines can take no more", expectedWaitMs);
  }

  /** Removes a request whose caller disconnected or whose deadline passed. */
  void remove(Dispatchable request) {
    heldBack.remove(request);
    coldEngineQueue.remove(request);
    ServiceState service = services.get(request.attributes().service());
    if (service != null && service.queue.remove(request)) {
      updateWaitingGauge();
    }
  }

  /** Handles the start of an engine's response, which may report free capacity. */
  void onFirstBytes(String service, AttemptTracker attempt) {
    ServiceState state = services.get(service);
    if (state != null && attempt.hadFreeSlot()) {
      state.times.onFirstBytes(attempt.timeToFirstByteMs());
    }
    scheduleDispatch();
  }

  /** Handles the end of an attempt, which frees a slot of the engine. */
  void onSlotFreed(String service, AttemptTracker attempt) {
    ServiceState state = services.get(service);
    if (state != null && attempt.hasResponse()) {
      state.times.onSlotFreed(attempt.responseAgeMs(clockMs.getAsLong()));
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
    return !heldBack.isEmpty()
        || !coldEngineQueue.isEmpty()
        || services.values().stream().anyMatch(service -> !service.queue.isEmpty());
  }

  private void dispatchAll() {
    if (sendingPaused.getAsBoolean()) {
      scheduleCheck();
      return;
    }
    releaseHeldBack();
    coldEngineQueue.release(this::submit, clockMs.getAsLong());
    for (ServiceState service : List.copyOf(services.values())) {
      dispatch(service);
    }
    scheduleCheck();
  }

  /** Submits one request after the other, since each may end others that are still held back. */
  private void releaseHeldBack() {
    while (!heldBack.isEmpty() && !sendingPaused.getAsBoolean()) {
      Dispatchable oldest = heldBack.iterator().next();
      heldBack.remove(oldest);
      submit(oldest);
    }
  }

  /**
   * Sends queued requests in order while an engine has capacity or the hold time of any request has
   * expired. Requests ahead of an expired one are sent first, since engines queue in order of
   * arrival.
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
    Dispatchable.DispatchAttributes attributes = request.attributes();
    List<EngineState> candidates = candidates(attributes.service(), request.constraints());
    QueueDecision decision = decide(service, attributes, next.holdUntilMs(), candidates);
    boolean holdExpired = service.queue.hasExpiredHold(clockMs.getAsLong());
    if (decision instanceof QueueDecision.Hold && !holdExpired) {
      return false;
    }
    service.queue.poll();
    if (decision instanceof QueueDecision.Reject rejection) {
      rejectTooLate(service, request, rejection);
      return true;
    }
    if (clockMs.getAsLong() > next.waitingSinceMs()) {
      metrics.onSentAfterWait();
    }
    boolean isHeld = candidates.isEmpty() && coldEngineQueue.offer(request, clockMs.getAsLong());
    if (!isHeld) {
      request.sendTo(preferred(candidates));
    }
    return true;
  }

  private QueueDecision decide(
      ServiceState service,
      Dispatchable.DispatchAttributes attributes,
      long holdUntilMs,
      List<EngineState> candidates) {
    QueuePolicy.Request request =
        new QueuePolicy.Request(
            attributes.dueMs(), attributes.deadlineMs(), holdUntilMs, attributes.mayBeRejected());
    return QueuePolicy.decide(request, capacities(candidates), service.times, clockMs.getAsLong());
  }

  private List<EngineState> candidates(String service, RequestConstraints constraints) {
    long nowMs = clockMs.getAsLong();
    List<EngineState> usable = engines.usable(service, constraints, nowMs);
    return usable.isEmpty() ? engines.inService(service, constraints, nowMs) : usable;
  }

  private List<EngineCapacity> capacities(List<EngineState> candidates) {
    return candidates.stream().map(this::capacity).toList();
  }

  /** Returns the candidates that are not known to be full, or all candidates if there are none. */
  private List<EngineState> preferred(List<EngineState> candidates) {
    List<EngineState> notFull =
        candidates.stream().filter(engine -> !capacity(engine).isKnownFull()).toList();
    return notFull.isEmpty() ? candidates : notFull;
  }

  private EngineCapacity capacity(EngineState engine) {
    long nowMs = clockMs.getAsLong();
    return new EngineCapacity(
        engine.instance().slots(),
        engine.inFlight() + engine.peerCalls(),
        engine.estimatedLoad(nowMs),
        engine.loadReportAgeMs(nowMs));
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
