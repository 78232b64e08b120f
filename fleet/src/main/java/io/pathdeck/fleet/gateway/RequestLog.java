package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.engine.EngineFailure;
import java.util.Locale;

/** The log lines about one request and its attempts. */
final class RequestLog {
  private static final EventLog EVENTS = EventLog.of(RequestLog.class);

  /**
   * How a request was served.
   *
   * @param engineId the engine that ended the answer
   * @param estimatedLoad the engine's load as it was believed at the choice
   * @param loadAgeMs how old that belief was
   * @param msPerEvent how long an event takes at the engine, as its streams here showed it
   * @param waitedMs how long the request waited here for room at engines
   */
  record Served(
      long routesVersion,
      String engineId,
      double estimatedLoad,
      long loadAgeMs,
      double msPerEvent,
      long waitedMs,
      long timeToFirstByteMs,
      long totalMs,
      long lastEvent) {
    /** Served by the engine of {@code use}. */
    static Served by(
        AttemptTracker use,
        long routesVersion,
        long waitedMs,
        long firstMs,
        long totalMs,
        long lastEvent) {
      return new Served(
          routesVersion,
          use.engine().instance().id(),
          use.estimatedLoad(),
          use.loadAgeMs(),
          use.engine().pace().msPerEvent(),
          waitedMs,
          firstMs,
          totalMs,
          lastEvent);
    }
  }

  private final String requestId;
  private final String route;
  private final AttemptBudget budget;

  RequestLog(String requestId, String route, AttemptBudget budget) {
    this.requestId = requestId;
    this.route = route;
    this.budget = budget;
  }

  void served(Served how) {
    EVENTS.log(
        EventCode.REQUEST_SERVED,
        "request",
        requestId,
        "route",
        route,
        "routes_version",
        how.routesVersion(),
        "engine",
        how.engineId(),
        "load",
        String.format(Locale.ROOT, "%.1f", how.estimatedLoad()),
        "load_age_ms",
        how.loadAgeMs(),
        "event_ms",
        String.format(Locale.ROOT, "%.1f", how.msPerEvent()),
        "sends",
        budget.sends(),
        "waited_ms",
        how.waitedMs(),
        "first_ms",
        how.timeToFirstByteMs(),
        "total_ms",
        how.totalMs(),
        "last_event",
        how.lastEvent());
  }

  void refused(String reason, long waitedMs) {
    EVENTS.log(
        EventCode.REQUEST_REFUSED,
        "request",
        requestId,
        "route",
        route,
        "reason",
        reason,
        "sends",
        budget.sends(),
        "waited_ms",
        waitedMs);
  }

  /**
   * The request failed; {@code key} and {@code value} say with which status or after which event.
   */
  void failed(String reason, String key, long value) {
    EVENTS.log(
        EventCode.REQUEST_FAILED,
        "request",
        requestId,
        "route",
        route,
        "reason",
        reason,
        key,
        value,
        "sends",
        budget.sends());
  }

  void attemptFailed(String engineId, EngineFailure failure, String reason, long afterEvent) {
    EVENTS.log(
        EventCode.ATTEMPT_FAILED,
        "request",
        requestId,
        "engine",
        engineId,
        "failure",
        failure.name().toLowerCase(Locale.ROOT),
        "reason",
        reason,
        "after_event",
        afterEvent);
  }

  void callerTooSlow() {
    EVENTS.log(EventCode.CALLER_TOO_SLOW, "request", requestId);
  }
}
