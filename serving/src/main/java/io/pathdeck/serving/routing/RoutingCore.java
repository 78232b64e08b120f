package io.pathdeck.serving.routing;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.EngineLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides on admission, the engine of each attempt and retries after failures. Pure: inputs are
 * events and the time, outputs are decisions.
 *
 * <p>All retry decisions are made here. A request that did not run can be sent to another engine;
 * one that may have run can be retried only if the caller declared it repeatable.
 */
public final class RoutingCore {
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long LEAVING_EXPIRY_MS = 10_000;

  private static final class ActiveRequest {
    final RoutableRequest request;
    int attempts;
    EngineState engine;

    /** The engine of the last failed attempt; avoided if another is usable. */
    EngineState lastFailedEngine;

    ActiveRequest(RoutableRequest request) {
      this.request = request;
    }
  }

  private final RoutingSettings settings;
  private final EngineSelector selector;
  private final RetryBudget retryBudget;
  private final TenantLimiter limiter = new TenantLimiter();
  private final Map<String, EngineState> engines = new HashMap<>();
  private final Map<String, List<EngineState>> candidatesByService = new HashMap<>();
  private final Map<Long, ActiveRequest> active = new HashMap<>();
  private final Map<EngineState, Long> leavingSinceMs = new HashMap<>();
  private ConfigurationView configuration = ConfigurationView.EMPTY;

  public RoutingCore(RoutingSettings settings, String nodeId, String zone, long seed) {
    this.settings = settings;
    this.selector = new EngineSelector(settings, nodeId, zone, seed);
    this.retryBudget = new RetryBudget(settings.retryBudgetRatio(), settings.retryBudgetBurst());
  }

  /** Returns the number of active requests. */
  public int activeRequests() {
    return active.size();
  }

  /** Applies a new configuration; engines keep their state unless their address changed. */
  public void onConfiguration(ConfigurationView view) {
    configuration = view;
    Map<String, EngineState> previous = new HashMap<>(engines);
    engines.clear();
    Map<String, List<EngineState>> byService = new HashMap<>();
    for (EngineSpec spec : view.engines()) {
      EngineState state = previous.get(spec.name());
      if (state == null || !state.spec.address().equals(spec.address())) {
        state = new EngineState(spec, new EngineHealth(settings));
      }
      state.spec = spec;
      engines.put(spec.name(), state);
      byService.computeIfAbsent(spec.service(), key -> new ArrayList<>()).add(state);
    }
    candidatesByService.clear();
    byService.forEach(
        (service, list) -> candidatesByService.put(service, selector.candidates(list)));
  }

  /** Admits or refuses a request. */
  public List<RoutingDecision> onRequest(RoutableRequest request, long nowMs) {
    Optional<TenantSpec> tenant = configuration.tenant(request.tenant());
    if (tenant.isEmpty()) {
      return refuse(request, RefusalReason.NO_ENGINE);
    }
    Optional<RefusalReason> refusal = limiter.admit(tenant.get(), configuration.liveNodes(), nowMs);
    if (refusal.isPresent()) {
      return refuse(request, refusal.get());
    }
    retryBudget.onRequest();
    ActiveRequest entry = new ActiveRequest(request);
    active.put(request.requestId(), entry);
    return startAttempt(entry, nowMs);
  }

  private static List<RoutingDecision> refuse(RoutableRequest request, RefusalReason reason) {
    return List.of(new RoutingDecision.Refuse(request.requestId(), reason, RETRY_AFTER_MS));
  }

  private List<RoutingDecision> startAttempt(ActiveRequest entry, long nowMs) {
    RoutableRequest request = entry.request;
    List<EngineState> candidates = candidatesByService.getOrDefault(request.service(), List.of());
    EngineState engine =
        selector.select(candidates, request.prefixHash(), entry.lastFailedEngine, nowMs);
    if (engine == null) {
      finish(entry);
      boolean anyAlive =
          candidates.stream().anyMatch(c -> !c.leaving && !c.health.isEjected(nowMs));
      RefusalReason reason = anyAlive ? RefusalReason.ENGINES_FULL : RefusalReason.NO_ENGINE;
      return refuse(request, reason);
    }
    entry.attempts++;
    entry.engine = engine;
    engine.onStarted(nowMs);
    return List.of(
        new RoutingDecision.StartAttempt(request.requestId(), entry.attempts, engine.spec));
  }

  /** Handles the complete response of the running attempt. */
  public void onCompleted(long requestId, int attempt) {
    ActiveRequest entry = runningRequest(requestId, attempt);
    if (entry != null) {
      entry.engine.health.onSuccess();
      finish(entry);
    }
  }

  /**
   * Handles the failure of the running attempt.
   *
   * @param started whether an earlier attempt may have run or the caller received tokens
   */
  public List<RoutingDecision> onFailed(
      long requestId, int attempt, AttemptFailure failure, boolean started, long nowMs) {
    ActiveRequest entry = runningRequest(requestId, attempt);
    if (entry == null) {
      return List.of();
    }
    EngineState engine = entry.engine;
    engine.inFlight--;
    entry.engine = null;
    entry.lastFailedEngine = engine;
    recordFailure(engine, failure, nowMs);
    boolean mayHaveRun = started || failure.mayHaveRun();
    if (mayHaveRun && !entry.request.repeatable()) {
      return fail(entry, FailureReason.OUTCOME_UNKNOWN, true);
    }
    boolean retry =
        entry.attempts < settings.maxAttempts()
            && nowMs < entry.request.deadlineMs()
            && retryBudget.tryRetry();
    if (retry) {
      List<RoutingDecision> decisions = startAttempt(entry, nowMs);
      boolean refused = decisions.get(0) instanceof RoutingDecision.Refuse;
      return refused && mayHaveRun ? attemptsExhausted(entry) : decisions;
    }
    if (mayHaveRun) {
      return fail(entry, FailureReason.ATTEMPTS_EXHAUSTED, true);
    }
    finish(entry);
    return refuse(entry.request, RefusalReason.ENGINES_FULL);
  }

  private static List<RoutingDecision> attemptsExhausted(ActiveRequest entry) {
    return List.of(
        new RoutingDecision.Fail(
            entry.request.requestId(), FailureReason.ATTEMPTS_EXHAUSTED, true));
  }

  private void recordFailure(EngineState engine, AttemptFailure failure, long nowMs) {
    if (failure instanceof AttemptFailure.Refused refused) {
      if (refused.leaving()) {
        engine.leaving = true;
        leavingSinceMs.put(engine, nowMs);
      } else {
        engine.health.suspendUntil(nowMs + Math.min(refused.retryAfterMs(), RETRY_AFTER_MS));
      }
      return;
    }
    boolean connectFailed = failure instanceof AttemptFailure.ConnectFailed;
    engine.health.onFailure(connectFailed, nowMs);
  }

  private List<RoutingDecision> fail(
      ActiveRequest entry, FailureReason reason, boolean mayHaveRun) {
    finish(entry);
    return List.of(new RoutingDecision.Fail(entry.request.requestId(), reason, mayHaveRun));
  }

  /** Handles a caller that disconnected or reads too slowly. */
  public List<RoutingDecision> onCancelled(long requestId) {
    ActiveRequest entry = active.get(requestId);
    if (entry == null) {
      return List.of();
    }
    List<RoutingDecision> decisions = new ArrayList<>();
    if (entry.engine != null) {
      decisions.add(new RoutingDecision.CancelAttempt(requestId, entry.attempts));
    }
    finish(entry);
    return decisions;
  }

  /** Handles an engine's load report. */
  public void onLoad(String engineName, EngineLoad load, long nowMs) {
    EngineState engine = engines.get(engineName);
    if (engine != null) {
      engine.onLoad(load, nowMs);
    }
  }

  /** Fails requests after their deadline. */
  public List<RoutingDecision> poll(long nowMs) {
    expireLeaving(nowMs);
    List<ActiveRequest> expired = new ArrayList<>();
    for (ActiveRequest entry : active.values()) {
      if (nowMs >= entry.request.deadlineMs()) {
        expired.add(entry);
      }
    }
    List<RoutingDecision> decisions = new ArrayList<>();
    for (ActiveRequest entry : expired) {
      long requestId = entry.request.requestId();
      decisions.add(new RoutingDecision.CancelAttempt(requestId, entry.attempts));
      decisions.addAll(fail(entry, FailureReason.DEADLINE_EXCEEDED, true));
    }
    return decisions;
  }

  /** Makes engines that announced a shutdown usable after a delay, as they may have restarted. */
  private void expireLeaving(long nowMs) {
    Iterator<Map.Entry<EngineState, Long>> iterator = leavingSinceMs.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<EngineState, Long> entry = iterator.next();
      if (nowMs - entry.getValue() >= LEAVING_EXPIRY_MS) {
        entry.getKey().leaving = false;
        iterator.remove();
      }
    }
  }

  private ActiveRequest runningRequest(long requestId, int attempt) {
    ActiveRequest entry = active.get(requestId);
    boolean matches = entry != null && entry.attempts == attempt && entry.engine != null;
    return matches ? entry : null;
  }

  private void finish(ActiveRequest entry) {
    if (active.remove(entry.request.requestId()) == null) {
      return;
    }
    limiter.release(entry.request.tenant());
    if (entry.engine != null) {
      entry.engine.inFlight--;
      entry.engine = null;
    }
  }
}
