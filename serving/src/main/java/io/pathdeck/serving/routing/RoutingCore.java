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
 * The node's decisions: which requests are admitted, which engine runs an attempt, and what follows
 * a failed one. Pure: time and events come in, decisions go out.
 *
 * <p>Whether to try again is decided here only, from one question: may the request have run? If
 * not, it may go to another engine. If it may have, it may only when the caller allowed repeats.
 */
public final class RoutingCore {
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long LEAVING_EXPIRY_MS = 10_000;

  private static final class ActiveRequest {
    final RoutableRequest request;
    int attempts;
    EngineState engine;

    /** The engine of the last failed attempt, avoided if there is another. */
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

  /** The number of requests that are being served. */
  public int activeRequests() {
    return active.size();
  }

  /** Takes a new configuration. */
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

  /** The running attempt has delivered the whole answer. */
  public void onCompleted(long requestId, int attempt) {
    ActiveRequest entry = runningRequest(requestId, attempt);
    if (entry != null) {
      entry.engine.health.onSuccess();
      finish(entry);
    }
  }

  /**
   * The running attempt has failed.
   *
   * @param started whether an earlier attempt may have run, or tokens reached the caller
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
    boolean certain = failure instanceof AttemptFailure.ConnectFailed;
    engine.health.onFailure(certain, nowMs);
  }

  private List<RoutingDecision> fail(
      ActiveRequest entry, FailureReason reason, boolean mayHaveRun) {
    finish(entry);
    return List.of(new RoutingDecision.Fail(entry.request.requestId(), reason, mayHaveRun));
  }

  /** The caller has gone, or its connection cannot take the answer. */
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

  /** An engine reported its load. */
  public void onLoad(String engineName, EngineLoad load, long nowMs) {
    EngineState engine = engines.get(engineName);
    if (engine != null) {
      engine.onLoad(load, nowMs);
    }
  }

  /** Lets deadlines act. */
  public List<RoutingDecision> poll(long nowMs) {
    expireLeaving(nowMs);
    List<ActiveRequest> late = new ArrayList<>();
    for (ActiveRequest entry : active.values()) {
      if (nowMs >= entry.request.deadlineMs()) {
        late.add(entry);
      }
    }
    List<RoutingDecision> decisions = new ArrayList<>();
    for (ActiveRequest entry : late) {
      long requestId = entry.request.requestId();
      decisions.add(new RoutingDecision.CancelAttempt(requestId, entry.attempts));
      decisions.addAll(fail(entry, FailureReason.DEADLINE_EXCEEDED, true));
    }
    return decisions;
  }

  /** An engine that said it was leaving is asked again after a while: it may have come back. */
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
