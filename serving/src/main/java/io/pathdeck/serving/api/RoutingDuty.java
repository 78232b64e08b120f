package io.pathdeck.serving.api;

import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.AttemptListener;
import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.engine.EngineLoad;
import io.pathdeck.serving.engine.EngineRequest;
import io.pathdeck.serving.engine.Priority;
import io.pathdeck.serving.routing.RoutingCore;
import io.pathdeck.serving.routing.RoutingDecision;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Passes events to the routing core and executes its decisions. */
public final class RoutingDuty implements Duty {
  private static final EventLog EVENTS = EventLog.of(RoutingDuty.class);
  private static final int MAX_EVENTS_PER_STEP = 1_024;
  private static final int RING_CAPACITY = 16_384;
  private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long POLL_INTERVAL_MS = 50;

  private final RoutingCore core;
  private final EngineClient engineClient;
  private final Section<ConfigurationView> configuration;
  private final NodeMetrics metrics;
  private final long engineIdleTimeoutMs;
  private final LongSupplier clockNs;
  private final BoundedRing<RoutingEvent> ring = new BoundedRing<>(RING_CAPACITY);
  private final Map<Long, OnlineRequest> requests = new HashMap<>();
  private long configurationVersion = -1;
  private long nextPollMs;

  /** The time of the current call of {@link #doWork}. */
  private long nowMs;

  /** Creates the duty; {@code clockNs} is the clock of {@link #doWork}. */
  public RoutingDuty(
      RoutingCore core,
      EngineClient engineClient,
      Section<ConfigurationView> configuration,
      NodeMetrics metrics,
      long engineIdleTimeoutMs,
      LongSupplier clockNs) {
    this.clockNs = clockNs;
    this.core = core;
    this.engineClient = engineClient;
    this.configuration = configuration;
    this.metrics = metrics;
    this.engineIdleTimeoutMs = engineIdleTimeoutMs;
  }

  /** Returns the ring that wakes the duty's thread. */
  public BoundedRing<RoutingEvent> ring() {
    return ring;
  }

  /** Submits a request; returns false if the node is overloaded. */
  public boolean submit(OnlineRequest request) {
    return ring.offer(new RoutingEvent.Arrived(request));
  }

  /** Cancels a request after its caller disconnected or was too slow. */
  public void cancel(long requestId) {
    offer(new RoutingEvent.Cancelled(requestId));
  }

  /** Adds an event that must not be lost; the ring has room for all requests in flight. */
  private void offer(RoutingEvent event) {
    while (!ring.offer(event)) {
      Thread.onSpinWait();
    }
  }

  @Override
  public String name() {
    return "routing";
  }

  @Override
  public int doWork(long nowNs) {
    nowMs = TimeUnit.NANOSECONDS.toMillis(nowNs);
    applyConfiguration();
    int work = ring.drain(this::handle, MAX_EVENTS_PER_STEP);
    if (nowMs >= nextPollMs) {
      nextPollMs = nowMs + POLL_INTERVAL_MS;
      execute(core.poll(nowMs));
    }
    return work;
  }

  private void applyConfiguration() {
    Section.Snapshot<ConfigurationView> snapshot = configuration.snapshot();
    if (snapshot.version() != configurationVersion) {
      configurationVersion = snapshot.version();
      core.onConfiguration(snapshot.value());
    }
  }

  private void handle(RoutingEvent event) {
    if (event instanceof RoutingEvent.Arrived arrived) {
      OnlineRequest request = arrived.request();
      requests.put(request.routable.requestId(), request);
      execute(core.onRequest(request.routable, nowMs));
    } else if (event instanceof RoutingEvent.Completed completed) {
      core.onCompleted(completed.requestId(), completed.attempt());
      requests.remove(completed.requestId());
    } else if (event instanceof RoutingEvent.Failed failed) {
      onFailed(failed);
    } else if (event instanceof RoutingEvent.Cancelled cancelled) {
      execute(core.onCancelled(cancelled.requestId()));
      requests.remove(cancelled.requestId());
      metrics.recordOutcome("cancelled");
    } else if (event instanceof RoutingEvent.LoadReported loaded) {
      core.onLoad(loaded.engine(), loaded.load(), nowMs);
    }
  }

  private void onFailed(RoutingEvent.Failed failed) {
    OnlineRequest request = requests.get(failed.requestId());
    if (request == null) {
      return;
    }
    EVENTS.log(
        EventCode.ATTEMPT_FAILED,
        "request",
        failed.requestId(),
        "attempt",
        failed.attempt(),
        "failure",
        failed.failure());
    if (failed.failure() instanceof AttemptFailure.Invalid invalid) {
      execute(core.onCancelled(failed.requestId()));
      requests.remove(failed.requestId());
      request.writer.fail(ApiErrors.ofInvalid(invalid));
      return;
    }
    boolean started = request.mayHaveRun || request.eventsDelivered;
    request.mayHaveRun |= failed.failure().mayHaveRun();
    execute(core.onFailed(failed.requestId(), failed.attempt(), failed.failure(), started, nowMs));
  }

  private void execute(List<RoutingDecision> decisions) {
    for (RoutingDecision decision : decisions) {
      OnlineRequest request = requests.get(decision.requestId());
      if (request == null) {
        continue;
      }
      if (decision instanceof RoutingDecision.StartAttempt start) {
        startAttempt(request, start.attempt(), start.engine());
      } else if (decision instanceof RoutingDecision.CancelAttempt) {
        cancelAttempt(request);
      } else if (decision instanceof RoutingDecision.Refuse refuse) {
        requests.remove(decision.requestId());
        metrics.recordOutcome("refused");
        request.writer.fail(ApiErrors.of(refuse));
      } else if (decision instanceof RoutingDecision.Fail fail) {
        requests.remove(decision.requestId());
        metrics.recordOutcome("failed");
        EVENTS.log(EventCode.REQUEST_FAILED, "request", fail.requestId(), "reason", fail.reason());
        request.writer.fail(ApiErrors.of(fail));
      }
    }
  }

  private void startAttempt(OnlineRequest request, int attempt, EngineSpec engine) {
    OnlineAttemptListener listener = new OnlineAttemptListener(request, attempt, engine.name());
    request.runningAttempt = attempt;
    if (request.deliveredTokens > 0) {
      metrics.recordResumedStream();
      EVENTS.log(
          EventCode.STREAM_RESUMED,
          "request",
          request.routable.requestId(),
          "after",
          request.deliveredTokens,
          "engine",
          engine.name());
    }
    String responseId = "cmpl-" + Long.toHexString(request.routable.requestId());
    EngineRequest engineRequest =
        new EngineRequest(
            responseId + "." + attempt,
            responseId,
            request.generation.path(),
            request.generation.engineBody(),
            Priority.ONLINE,
            request.deliveredTokens,
            engineIdleTimeoutMs,
            Math.max(1, request.routable.deadlineMs() - nowMs));
    request.call = engineClient.start(engine, engineRequest, listener);
  }

  private static void cancelAttempt(OnlineRequest request) {
    request.runningAttempt = 0;
    if (request.call != null) {
      request.call.cancel();
    }
  }

  @Override
  public long maxIdleNs() {
    return MAX_IDLE_NS;
  }

  /** Forwards an attempt's stream events to the caller and its end to the routing duty. */
  private final class OnlineAttemptListener implements AttemptListener {
    private final OnlineRequest request;
    private final int attempt;
    private final String engine;

    OnlineAttemptListener(OnlineRequest request, int attempt, String engine) {
      this.request = request;
      this.attempt = attempt;
      this.engine = engine;
    }

    private boolean isCurrent() {
      return request.runningAttempt == attempt;
    }

    @Override
    public void onLoad(EngineLoad load) {
      ring.offer(new RoutingEvent.LoadReported(engine, load));
    }

    @Override
    public void onEvents(byte[] events, int tokens) {
      if (!isCurrent()) {
        return;
      }
      int deliveredBefore = request.deliveredTokens;
      if (tokens > 0 && deliveredBefore == 0) {
        metrics.recordFirstToken(clockNs.getAsLong() - request.arrivedAtNs);
      }
      // Attempts do not overlap, so only one thread writes this field.
      request.deliveredTokens = deliveredBefore + tokens;
      request.eventsDelivered = true;
      metrics.recordTokens(tokens);
      if (!request.writer.onEvents(events, tokens)) {
        EVENTS.log(EventCode.CALLER_TOO_SLOW, "request", request.routable.requestId());
        request.runningAttempt = 0;
        cancel(request.routable.requestId());
        request.writer.fail(ApiErrors.callerTooSlow());
      }
    }

    @Override
    public void onCompleted() {
      if (isCurrent()) {
        request.writer.complete();
        metrics.recordOutcome("completed");
        offer(new RoutingEvent.Completed(request.routable.requestId(), attempt));
      }
    }

    @Override
    public void onFailed(AttemptFailure failure) {
      if (isCurrent()) {
        request.runningAttempt = 0;
        offer(new RoutingEvent.Failed(request.routable.requestId(), attempt, failure));
      }
    }
  }
}
