package io.pathdeck.fleet.gateway;

import io.netty.channel.EventLoop;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.CallerCall;
import io.pathdeck.fleet.adapter.CallerProtocol;
import io.pathdeck.fleet.engine.EngineChoice;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.TrafficSplit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Matches callers' requests against the routes and serves them; confined to the event loop. */
final class Gateway {
  private static final EventLog EVENTS = EventLog.of(Gateway.class);
  private static final long SILENCE_CHECK_INTERVAL_MS = 100;

  /** How long after its start a gateway has usually heard from the coordinators. */
  private static final long USUAL_START_MS = 1_400;

  /** Over how long the callers refused at a start are spread when they come back. */
  private static final long START_SPREAD_MS = 600;

  private static final long MIN_START_RETRY_AFTER_MS = 300;
  private static final long UNCONFIRMED_RETRY_AFTER_MS = 300;

  private final CallerProtocol protocol;
  private final Supplier<FleetView> view;
  private final BooleanSupplier usable;
  private final BooleanSupplier routesConfirmed;
  private final BatchCalls batch;
  private final RequestForwarder.Shared shared;
  private final long startNs = System.nanoTime();
  private final TrafficSplit split = new TrafficSplit();

  /**
   * Creates a gateway.
   *
   * @param usable whether what is known may be acted on
   * @param routesConfirmed whether the routes are surely the newest ones; while they are not, a
   *     request without a route is not told that there is none
   */
  Gateway(
      EventLoop eventLoop,
      CallerProtocol protocol,
      Supplier<FleetView> view,
      BooleanSupplier usable,
      BooleanSupplier routesConfirmed,
      BatchCalls batch,
      EngineTransport transport,
      EngineChoice choice,
      RequestMetrics metrics) {
    this.protocol = protocol;
    this.view = view;
    this.usable = usable;
    this.routesConfirmed = routesConfirmed;
    this.batch = batch;
    this.shared =
        new RequestForwarder.Shared(
            eventLoop,
            transport,
            new EngineTable(),
            choice,
            ForwardingSettings.DEFAULT,
            new SilenceLimit(ForwardingSettings.DEFAULT),
            metrics,
            new HashSet<>());
    eventLoop.scheduleWithFixedDelay(
        this::checkSilence,
        SILENCE_CHECK_INTERVAL_MS,
        SILENCE_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Follows what is known of the fleet. */
  void onChange(FleetView changed) {
    if (changed.engines() != null) {
      shared.engines().update(changed.engines());
    }
  }

  private void checkSilence() {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    for (RequestForwarder forwarder : new ArrayList<>(shared.active())) {
      forwarder.checkSilence(nowMs);
    }
  }

  /** Serves one request. */
  void handle(HttpExchange exchange) {
    CallerCall call = protocol.read(exchange);
    if (call instanceof CallerCall.Request request) {
      handleRequest(exchange, request);
    } else if (call instanceof CallerCall.ReadResults read) {
      batch.readResults(exchange, read);
    } else if (call instanceof CallerCall.ReadItem read) {
      batch.readItem(exchange, read);
    } else if (call instanceof CallerCall.EndJob end) {
      batch.end(exchange, end);
    } else if (call instanceof CallerCall.Malformed malformed) {
      exchange.sendError(ApiError.invalid("bad_request", malformed.reason()));
    }
  }

  private static void logRefusal(CallerCall.Request request, String reason, FleetView known) {
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

  private void handleRequest(HttpExchange exchange, CallerCall.Request request) {
    FleetView known = view.get();
    if (!usable.getAsBoolean()) {
      logRefusal(request, "no configuration yet", known);
      long upMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
      long spreadMs = ThreadLocalRandom.current().nextLong(START_SPREAD_MS);
      long retryAfterMs = Math.max(MIN_START_RETRY_AFTER_MS, USUAL_START_MS - upMs) + spreadMs;
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
    } else if (route.get().kind() == RouteKind.BATCH) {
      batch.submit(exchange, request, route.get());
    } else {
      long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
      String service = split.next(route.get());
      long version = known.routes().version();
      new RequestForwarder(shared, exchange, request, route.get(), service, version, nowMs).start();
    }
  }
}
