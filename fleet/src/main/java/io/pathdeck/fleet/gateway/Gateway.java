package io.pathdeck.fleet.gateway;

import io.netty.channel.EventLoop;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.CallerProtocol;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.TrafficSplit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.StartProgress;
import io.pathdeck.fleet.queue.TenantPolicies;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Matches callers' requests against the routes and serves them; confined to the event loop. */
final class Gateway {
  private static final EventLog EVENTS = EventLog.of(Gateway.class);
  private static final long SILENCE_CHECK_INTERVAL_MS = 100;
  private static final long UNCONFIRMED_RETRY_AFTER_MS = 300;

  /**
   * Short, since each gateway hears of an engine seldom: where a report counts for longer, all
   * avoid engines that have become free.
   */
  private static final long REPORT_HALF_LIFE_MS = 250;

  /** A fifth of the usual window of a limit, in which a fifth of the limit becomes free. */
  private static final long OVER_RATE_RETRY_AFTER_MS = 1_000;

  private final CallerProtocol protocol;
  private final Supplier<FleetView> view;
  private final BooleanSupplier usable;
  private final Supplier<StartProgress> startProgress;
  private final BooleanSupplier routesConfirmed;
  private final BatchCalls batch;
  private final TenantLimiter limiter;
  private final ForwardingContext context;
  private final TrafficSplit trafficSplit = new TrafficSplit();
  private CallerKeys keys = CallerKeys.NONE;
  private long keysVersion = RouteTable.NO_VERSION;
  private boolean callersCompete;
  private Runnable periodicCheck = () -> {};
  private Runnable callStartListener = () -> {};

  /**
   * Creates a gateway.
   *
   * @param usable whether what is known may be acted on
   * @param startProgress how far the start has come while it may not
   * @param routesConfirmed whether the routes are surely the newest ones; while they are not, a
   *     request without a route is not told that there is none
   */
  Gateway(
      EventLoop eventLoop,
      CallerProtocol protocol,
      Supplier<FleetView> view,
      BooleanSupplier usable,
      Supplier<StartProgress> startProgress,
      BooleanSupplier routesConfirmed,
      BatchCalls batch,
      TenantLimiter limiter,
      EngineTransport transport,
      EngineLoadBalancer choice,
      RequestMetrics metrics) {
    this.protocol = protocol;
    this.view = view;
    this.usable = usable;
    this.startProgress = startProgress;
    this.routesConfirmed = routesConfirmed;
    this.batch = batch;
    this.limiter = limiter;
    EngineTable engines = new EngineTable(REPORT_HALF_LIFE_MS);
    this.context =
        new ForwardingContext(
            eventLoop,
            transport,
            engines,
            choice,
            ForwardingSettings.DEFAULT,
            new SilenceTimeout(ForwardingSettings.DEFAULT),
            metrics,
            dispatcher(eventLoop, engines, metrics.queue()),
            () -> callStartListener.run(),
            new HashSet<>());
    eventLoop.scheduleWithFixedDelay(
        this::checkSilence,
        SILENCE_CHECK_INTERVAL_MS,
        SILENCE_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private RequestDispatcher dispatcher(
      EventLoop eventLoop, EngineTable engines, QueueMetrics queueMetrics) {
    return new RequestDispatcher(
        engines,
        new RequestDispatcher.QueueingRule(() -> callersCompete, EngineState::reportsPace),
        (delayMs, action) -> eventLoop.schedule(action, delayMs, TimeUnit.MILLISECONDS),
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        queueMetrics);
  }

  /** The engines and what this gateway knows of them; to be used on the event loop only. */
  EngineTable engines() {
    return context.engines();
  }

  /** Calls {@code check} on the event loop with each check of engines for silence. */
  void onPeriodicCheck(Runnable check) {
    periodicCheck = check;
  }

  /** Calls {@code heard} on the event loop when a request was given to an engine. */
  void onCallStarted(Runnable heard) {
    callStartListener = heard;
  }

  /** Follows what is known of the fleet. */
  void onChange(FleetView changed) {
    if (changed.engines() != null) {
      context.engines().update(changed.engines());
    }
    if (changed.routes() != null && changed.routes().version() != keysVersion) {
      keysVersion = changed.routes().version();
      keys = CallerKeys.of(changed.routes());
      callersCompete = TenantPolicies.existIn(changed.routes());
    }
  }

  /** An engine has ended: it gets nothing until it can be back. */
  void onEngineEnded(EngineInstance engine) {
    context.engines().onDown(engine, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  private void checkSilence() {
    periodicCheck.run();
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    for (RequestForwarder forwarder : new ArrayList<>(context.activeRequests())) {
      forwarder.checkSilence(nowMs);
    }
  }

  /** Serves one request. */
  void handle(HttpExchange exchange) {
    CallerRequest call = protocol.read(exchange);
    if (call instanceof CallerRequest.Routed request) {
      handleRequest(exchange, request);
    } else if (call instanceof CallerRequest.ReadResults read) {
      handleJobCall(exchange, read.key(), tenant -> batch.readResults(exchange, read, tenant));
    } else if (call instanceof CallerRequest.ReadItem read) {
      handleJobCall(exchange, read.key(), tenant -> batch.readItem(exchange, read, tenant));
    } else if (call instanceof CallerRequest.EndJob end) {
      handleJobCall(exchange, end.key(), tenant -> batch.end(exchange, end, tenant));
    } else if (call instanceof CallerRequest.Malformed malformed) {
      exchange.sendError(ApiError.invalid("bad_request", malformed.reason()));
    }
  }

  private void handleJobCall(HttpExchange exchange, String key, Consumer<String> call) {
    boolean keysKnown = view.get().routes() != null;
    if (!keysKnown || (keys.isRequired() && !usable.getAsBoolean())) {
      Refusals.unavailable(exchange, "no configuration yet", UNCONFIRMED_RETRY_AFTER_MS);
      return;
    }
    CallerIdentity caller = keys.identify(key, false);
    if (caller instanceof CallerIdentity.MissingOrUnknownKey) {
      refuseUnknownKey(exchange);
    } else {
      call.accept(caller.tenantName());
    }
  }

  /** A key that this gateway does not know may be newer than the configuration that it holds. */
  private void refuseUnknownKey(HttpExchange exchange) {
    if (routesConfirmed.getAsBoolean()) {
      exchange.sendError(ApiError.unauthorized());
    } else {
      Refusals.unavailable(exchange, "the keys may be out of date", UNCONFIRMED_RETRY_AFTER_MS);
    }
  }

  private static void logRefusal(CallerRequest.Routed request, String reason, FleetView known) {
    EVENTS.log(
        EventCode.REQUEST_REFUSED,
        "request",
        request.requestId(),
        "host",
        request.host(),
        "path",
        request.path(),
        "reason",
        reason,
        "routes_version",
        known.routes() == null ? "none" : known.routes().version());
  }

  private void handleRequest(HttpExchange exchange, CallerRequest.Routed request) {
    FleetView known = view.get();
    if (!usable.getAsBoolean()) {
      logRefusal(request, "no configuration yet", known);
      double random = ThreadLocalRandom.current().nextDouble();
      long retryAfterMs =
          StartupRetryDelay.retryAfterMs(startProgress.get(), request.deadlineMs(), random);
      Refusals.unavailable(exchange, "no configuration yet", retryAfterMs);
      return;
    }
    Optional<RouteSpec> route = known.routes().match(request.host(), request.path());
    if (route.isEmpty() && !routesConfirmed.getAsBoolean()) {
      logRefusal(request, "no route, but the routes may be out of date", known);
      Refusals.unavailable(exchange, "the routes may be out of date", UNCONFIRMED_RETRY_AFTER_MS);
    } else if (route.isEmpty()) {
      logRefusal(request, "no route", known);
      exchange.sendError(ApiError.notFound("no_route", "no route for this host and path"));
    } else if (request.requestId().isEmpty()) {
      logRefusal(request, "no request id", known);
      exchange.sendError(ApiError.invalid("no_request_id", "the request has no id"));
    } else {
      handleRouted(exchange, request, route.get(), known);
    }
  }

  private void handleRouted(
      HttpExchange exchange, CallerRequest.Routed request, RouteSpec route, FleetView known) {
    CallerIdentity caller = keys.identify(request.key(), route.anonymous());
    if (caller instanceof CallerIdentity.MissingOrUnknownKey) {
      logRefusal(request, "missing or unknown key", known);
      refuseUnknownKey(exchange);
    } else if (route.kind() == RouteKind.BATCH) {
      batch.submit(exchange, request, route, caller.tenantName());
    } else if (caller instanceof CallerIdentity.Authenticated member) {
      limiter.admit(
          member.tenant(),
          outcome -> {
            switch (outcome) {
              case ADMITTED -> forward(exchange, request, route, caller, known);
              case OVER_LIMIT -> {
                logRefusal(request, "over the rate of tenant " + caller.tenantName(), known);
                Refusals.overRate(exchange, "over the tenant's rate", OVER_RATE_RETRY_AFTER_MS);
              }
              default -> {
                logRefusal(request, "rate of " + caller.tenantName() + " not known", known);
                Refusals.unavailable(
                    exchange, "the tenant's rate is not known", UNCONFIRMED_RETRY_AFTER_MS);
              }
            }
          });
    } else {
      forward(exchange, request, route, caller, known);
    }
  }

  private void forward(
      HttpExchange exchange,
      CallerRequest.Routed request,
      RouteSpec route,
      CallerIdentity caller,
      FleetView known) {
    if (exchange.isEnded()) {
      return;
    }
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    String service = trafficSplit.next(route);
    long version = known.routes().version();
    RequestAuthorization permission =
        new RequestAuthorization(caller, () -> isStillAllowed(request, caller));
    new RequestForwarder(context, exchange, request, route, service, version, permission, nowMs)
        .start();
  }

  /** Whether the newest configuration has a route for the request and a tenant for its key. */
  private boolean isStillAllowed(CallerRequest.Routed request, CallerIdentity caller) {
    Optional<RouteSpec> route = view.get().routes().match(request.host(), request.path());
    return route.isPresent()
        && keys.identify(request.key(), route.get().anonymous())
            .tenantName()
            .equals(caller.tenantName());
  }
}
