package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.engine.TrafficSplit;
import io.pathdeck.fleet.origin.StreamOrigins;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import io.pathdeck.serving.http.HttpExchange;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the service of an authorized request and starts to forward it; a stream that a caller
 * takes up goes to the service and software version that began it. Confined to the event loop.
 */
final class RequestStarter {
  private static final EventLog EVENTS = EventLog.of(RequestStarter.class);

  /** A gateway that did not answer may do so again after a short suspension or cut. */
  private static final long SILENT_KEEPER_RETRY_AFTER_MS = 500;

  /** Nobody is going to know the origin of a stream that no gateway knows. */
  private static final long UNKNOWN_ORIGIN_RETRY_AFTER_MS = 2_000;

  private final ForwardingContext context;
  private final StreamOrigins streamOrigins;
  private final TrafficSplit trafficSplit = new TrafficSplit();

  RequestStarter(ForwardingContext context, StreamOrigins streamOrigins) {
    this.context = context;
    this.streamOrigins = streamOrigins;
  }

  /** Starts a request on its route, as of {@code routesVersion}. */
  void start(
      HttpExchange exchange,
      CallerRequest.Routed request,
      RouteSpec route,
      RequestAuthorization authorization,
      long routesVersion) {
    Start start = new Start(exchange, request, route, authorization, routesVersion);
    if (route.kind() == RouteKind.STREAM && request.isResumption()) {
      start.resume();
    } else {
      start.begin();
    }
  }

  /** The start of one request. */
  private final class Start {
    private final HttpExchange exchange;
    private final CallerRequest.Routed request;
    private final RouteSpec route;
    private final RequestAuthorization authorization;
    private final long routesVersion;

    Start(
        HttpExchange exchange,
        CallerRequest.Routed request,
        RouteSpec route,
        RequestAuthorization authorization,
        long routesVersion) {
      this.exchange = exchange;
      this.request = request;
      this.route = route;
      this.authorization = authorization;
      this.routesVersion = routesVersion;
    }

    private String tenant() {
      return authorization.caller().tenantName();
    }

    void begin() {
      StreamBinding binding =
          StreamBinding.ofNew(
              streamOrigins::record, context.metrics().streams(), route, request, tenant());
      forward(trafficSplit.next(route), binding);
    }

    void resume() {
      long stream = StreamOrigins.streamOf(tenant(), request.resumedRequestId());
      streamOrigins.resolve(stream, route, this::onResolved);
    }

    private void onResolved(Resolution resolution) {
      if (exchange.isEnded()) {
        return;
      }
      if (resolution instanceof Resolution.Known known) {
        resumeAt(known.origin());
      } else if (resolution instanceof Resolution.Unknown unknown) {
        refuse(
            StreamMetrics.Refusal.ORIGIN_UNKNOWN,
            "it is not known which software version began the stream",
            unknown.mayBeFound() ? SILENT_KEEPER_RETRY_AFTER_MS : UNKNOWN_ORIGIN_RETRY_AFTER_MS);
      }
    }

    private void resumeAt(StreamOriginRecord origin) {
      String service = origin.origin().service();
      if (route.sendsTo(service)) {
        StreamMetrics metrics = context.metrics().streams();
        forward(service, StreamBinding.ofResumed(streamOrigins::record, metrics, route, origin));
      } else {
        refuse(
            StreamMetrics.Refusal.SERVICE_NOT_ROUTED,
            "the route does not lead to the service that began the stream any more",
            UNKNOWN_ORIGIN_RETRY_AFTER_MS);
      }
    }

    private void refuse(StreamMetrics.Refusal cause, String reason, long retryAfterMs) {
      context.metrics().streams().onRefused(cause);
      EVENTS.log(
          EventCode.REQUEST_REFUSED,
          "request",
          request.requestId(),
          "route",
          route.name(),
          "reason",
          reason,
          "resumes",
          request.resumedRequestId());
      Refusals.unavailable(exchange, reason, retryAfterMs);
    }

    private void forward(String service, StreamBinding binding) {
      long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
      ForwardedRequest forwarded =
          ForwardedRequest.arrived(
              context.settings(),
              exchange,
              request,
              route,
              service,
              routesVersion,
              authorization,
              nowMs);
      new RequestForwarder(context, forwarded, binding).start();
    }
  }
}
