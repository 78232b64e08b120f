package io.pathdeck.fleet.gateway;

import io.netty.channel.EventLoop;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.CallerProtocol;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.ResponseMemory;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.StartProgress;
import io.pathdeck.fleet.origin.StreamOrigins;
import io.pathdeck.fleet.queue.TenantPolicies;
import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Routes callers' requests and serves them; confined to the event loop. */
final class Gateway {
  /** Responses of engines may take a quarter of the heap. */
  static final int RESPONSE_HEAP_PARTS = 4;

  private static final EventLog EVENTS = EventLog.of(Gateway.class);
  private static final long UNCONFIRMED_RETRY_AFTER_MS = 300;
  private static final long NO_REGION_RETRY_AFTER_MS = 1_000;

  /**
   * Half-life of an engine's load report. An engine's reports reach each gateway seldom; with a
   * longer half-life, all gateways would avoid engines that have become free.
   */
  private static final long REPORT_HALF_LIFE_MS = 250;

  /**
   * A fifth of the default limit window, after which about a fifth of the limit is available again.
   */
  private static final long OVER_RATE_RETRY_AFTER_MS = 1_000;

  private final CallerProtocol protocol;
  private final Supplier<FleetView> view;
  private final BooleanSupplier configurationUsable;
  private final Supplier<StartProgress> startProgress;
  private final BooleanSupplier routesConfirmed;
  private final BatchCalls batchCalls;
  private final TenantLimiter limiter;
  private final StreamOrigins streamOrigins;
  private final ForwardingContext context;
  private final RequestStarter requestStarter;
  private final RegionChanges regionChanges = new RegionChanges();
  private CallerKeys keys = CallerKeys.NONE;
  private long keysVersion = RouteTable.NO_VERSION;
  private boolean hasTenantPolicies;
  private final SilenceCheck silenceCheck;
  private Runnable periodicCheck = () -> {};
  private Runnable callStartListener = () -> {};

  /**
   * Creates a gateway. It refuses requests until {@code configurationUsable}, with a retry time
   * derived from {@code startProgress}. Until {@code routesConfirmed}, a request without a route or
   * with an unknown key gets a retryable error, since the configuration may be out of date.
   */
  Gateway(
      EventLoop eventLoop,
      CallerProtocol protocol,
      Supplier<FleetView> view,
      BooleanSupplier configurationUsable,
      Supplier<StartProgress> startProgress,
      BooleanSupplier routesConfirmed,
      BatchCalls batchCalls,
      TenantLimiter limiter,
      EngineTransport transport,
      EngineLoadBalancer loadBalancer,
      EngineEligibility eligibility,
      StreamOrigins streamOrigins,
      RequestMetrics metrics) {
    this.protocol = protocol;
    this.view = view;
    this.configurationUsable = configurationUsable;
    this.startProgress = startProgress;
    this.routesConfirmed = routesConfirmed;
    this.batchCalls = batchCalls;
    this.limiter = limiter;
    this.streamOrigins = streamOrigins;
    EngineTable engines = new EngineTable(REPORT_HALF_LIFE_MS, eligibility);
    this.context =
        new ForwardingContext(
            eventLoop,
            transport,
            engines,
            loadBalancer,
            ForwardingSettings.DEFAULT,
            new SilenceTimeout(ForwardingSettings.DEFAULT),
            metrics,
            ResponseMemory.ofHeap(RESPONSE_HEAP_PARTS),
            dispatcher(eventLoop, engines, metrics.queue()),
            () -> callStartListener.run(),
            new StopRule(),
            new HashSet<>());
    this.requestStarter = new RequestStarter(context, streamOrigins);
    this.silenceCheck = new SilenceCheck(context.activeRequests(), nowMs());
    eventLoop.scheduleWithFixedDelay(
        this::checkSilence,
        SilenceCheck.INTERVAL_MS,
        SilenceCheck.INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private RequestDispatcher dispatcher(
      EventLoop eventLoop, EngineTable engines, QueueMetrics queueMetrics) {
    return new RequestDispatcher(
        engines,
        new RequestDispatcher.QueueingRule(() -> hasTenantPolicies, EngineState::reportsPace),
        (delayMs, action) -> eventLoop.schedule(action, delayMs, TimeUnit.MILLISECONDS),
        Gateway::nowMs,
        queueMetrics);
  }

  /** Returns the state of the engines, for use on the event loop only. */
  EngineTable engines() {
    return context.engines();
  }

  /** Sets a condition under which requests are held back, since the view may be out of date. */
  void setSendingPaused(BooleanSupplier condition) {
    context.dispatcher().setSendingPaused(condition);
  }

  /** Sets an action that runs on the event loop before each silence check. */
  void setPeriodicCheck(Runnable action) {
    periodicCheck = action;
  }

  /** Sets an action that runs on the event loop whenever a request is sent to an engine. */
  void setCallStartListener(Runnable listener) {
    callStartListener = listener;
  }

  /** Applies a change of the fleet's state. */
  void onChange(FleetView newView) {
    EngineEligibility eligibility = context.engines().eligibility();
    eligibility.setEvacuatedZones(newView.evacuatedZones());
    if (newView.routes() != null) {
      eligibility.softwareVersions().onRoutes(newView.routes());
    }
    if (newView.engines() != null) {
      long nowMs = nowMs();
      eligibility
          .softwareVersions()
          .onView(
              newView.engines().values(),
              newView.retiredOrigins(),
              newView.joiningOrigins(),
              nowMs);
      context.engines().update(newView.engines());
      context.metrics().streams().onEngines(newView.engines().values());
    }
    streamOrigins.onChange(newView);
    if (newView.routes() != null && newView.routes().version() != keysVersion) {
      keysVersion = newView.routes().version();
      keys = CallerKeys.of(newView.routes());
      regionChanges.onRoutes(newView.routes(), System.nanoTime());
      hasTenantPolicies = TenantPolicies.existIn(newView.routes());
    }
  }

  /** Applies that views have been missed before {@code view}. */
  void onViewsMissed(FleetView view) {
    context
        .engines()
        .eligibility()
        .softwareVersions()
        .onViewsMissed(view.retiredOrigins(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /** Stops sending requests to a terminated engine until it may be back. */
  void onEngineEnded(EngineInstance engine) {
    context.engines().onDown(engine, nowMs());
  }

  /** Sends no more requests to engines that cannot be finished within a stop's schedule. */
  void beginStop(StopSchedule schedule) {
    context.stopRule().begin(schedule);
  }

  /** Ends the requests in progress, as the time for a stop is over; for use on the event loop. */
  void endRequests() {
    List.copyOf(context.activeRequests()).forEach(RequestForwarder::onStopped);
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void checkSilence() {
    periodicCheck.run();
    silenceCheck.run(nowMs());
  }

  void handle(HttpExchange exchange) {
    CallerRequest call = protocol.read(exchange);
    if (call instanceof CallerRequest.Routed request) {
      routeRequest(exchange, request);
    } else if (call instanceof CallerRequest.ReadResults read) {
      handleJobCall(exchange, read.key(), tenant -> batchCalls.readResults(exchange, read, tenant));
    } else if (call instanceof CallerRequest.ReadItem read) {
      handleJobCall(exchange, read.key(), tenant -> batchCalls.readItem(exchange, read, tenant));
    } else if (call instanceof CallerRequest.EndJob end) {
      handleJobCall(exchange, end.key(), tenant -> batchCalls.end(exchange, end, tenant));
    } else if (call instanceof CallerRequest.Malformed malformed) {
      exchange.sendError(ApiError.invalid("bad_request", malformed.reason()));
    }
  }

  private void handleJobCall(HttpExchange exchange, String key, Consumer<String> call) {
    boolean keysKnown = view.get().routes() != null;
    if (!keysKnown || (keys.isRequired() && !configurationUsable.getAsBoolean())) {
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

  /**
   * Refuses a request with an unknown key. The error is retryable while the configuration may be
   * older than the key.
   */
  private void refuseUnknownKey(HttpExchange exchange) {
    if (routesConfirmed.getAsBoolean()) {
      exchange.sendError(ApiError.unauthorized());
    } else {
      Refusals.unavailable(exchange, "the keys may be out of date", UNCONFIRMED_RETRY_AFTER_MS);
    }
  }

  private static void logRefusal(
      CallerRequest.Routed request, String reason, FleetView currentView) {
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
        currentView.routes() == null ? "none" : currentView.routes().version());
  }

  private void routeRequest(HttpExchange exchange, CallerRequest.Routed request) {
    FleetView currentView = view.get();
    if (!configurationUsable.getAsBoolean()) {
      logRefusal(request, "no configuration yet", currentView);
      double random = ThreadLocalRandom.current().nextDouble();
      long retryAfterMs =
          StartupRetryDelay.retryAfterMs(startProgress.get(), request.maxWaitMs(), random);
      Refusals.unavailable(exchange, "no configuration yet", retryAfterMs);
      return;
    }
    Optional<RouteSpec> route = currentView.routes().match(request.host(), request.path());
    if (route.isEmpty() && !routesConfirmed.getAsBoolean()) {
      logRefusal(request, "no route, but the routes may be out of date", currentView);
      Refusals.unavailable(exchange, "the routes may be out of date", UNCONFIRMED_RETRY_AFTER_MS);
    } else if (route.isEmpty()) {
      logRefusal(request, "no route", currentView);
      exchange.sendError(ApiError.notFound("no_route", "no route for this host and path"));
    } else if (request.requestId().isEmpty()) {
      logRefusal(request, "no request id", currentView);
      exchange.sendError(ApiError.invalid("no_request_id", "the request has no id"));
    } else {
      authenticateAndForward(exchange, request, route.get(), currentView);
    }
  }

  private void authenticateAndForward(
      HttpExchange exchange, CallerRequest.Routed request, RouteSpec route, FleetView currentView) {
    CallerIdentity caller = keys.identify(request.key(), route.anonymous());
    if (caller instanceof CallerIdentity.MissingOrUnknownKey) {
      logRefusal(request, "missing or unknown key", currentView);
      refuseUnknownKey(exchange);
    } else if (allowedRegions(request, caller).allowsNone()) {
      String reason = "the route and the tenant allow no common region";
      logRefusal(request, reason, currentView);
      Refusals.unavailable(exchange, reason, NO_REGION_RETRY_AFTER_MS);
    } else if (route.kind() == RouteKind.BATCH) {
      batchCalls.submit(
          exchange,
          request,
          route,
          caller.tenantName(),
          allowedRegions(request, caller),
          regionChanges.isRecent(System.nanoTime()));
    } else if (caller instanceof CallerIdentity.Authenticated authenticated) {
      limiter.admit(
          authenticated.tenant(),
          outcome -> {
            switch (outcome) {
              case ADMITTED -> forward(exchange, request, route, caller, currentView);
              case OVER_LIMIT -> {
                logRefusal(request, "over the rate of tenant " + caller.tenantName(), currentView);
                Refusals.overRate(exchange, "over the tenant's rate", OVER_RATE_RETRY_AFTER_MS);
              }
              default -> {
                logRefusal(request, "rate of " + caller.tenantName() + " not known", currentView);
                Refusals.unavailable(
                    exchange, "the tenant's rate is not known", UNCONFIRMED_RETRY_AFTER_MS);
              }
            }
          });
    } else {
      forward(exchange, request, route, caller, currentView);
    }
  }

  private void forward(
      HttpExchange exchange,
      CallerRequest.Routed request,
      RouteSpec route,
      CallerIdentity caller,
      FleetView currentView) {
    if (exchange.isEnded()) {
      return;
    }
    RequestAuthorization authorization =
        new RequestAuthorization(
            caller, () -> isStillAllowed(request, caller), () -> allowedRegions(request, caller));
    requestStarter.start(exchange, request, route, authorization, currentView.routes().version());
  }

  /** Returns the regions that both the route and the tenant allow; none without a route. */
  private AllowedRegions allowedRegions(CallerRequest.Routed request, CallerIdentity caller) {
    RouteTable routes = view.get().routes();
    AllowedRegions ofRoute =
        routes
            .match(request.host(), request.path())
            .map(route -> AllowedRegions.of(route.allowedRegions()))
            .orElse(AllowedRegions.NOWHERE);
    AllowedRegions ofTenant =
        routes
            .tenant(caller.tenantName())
            .map(tenant -> AllowedRegions.of(tenant.allowedRegions()))
            .orElse(AllowedRegions.ANYWHERE);
    return ofRoute.and(ofTenant);
  }

  /**
   * Returns whether the current configuration still routes the request and maps its key to the same
   * tenant.
   */
  private boolean isStillAllowed(CallerRequest.Routed request, CallerIdentity caller) {
    Optional<RouteSpec> route = view.get().routes().match(request.host(), request.path());
    return route.isPresent()
        && keys.identify(request.key(), route.get().anonymous())
            .tenantName()
            .equals(caller.tenantName());
  }
}
