package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Arrays;
import java.util.Locale;

/** Logs events of one request and its attempts. */
final class RequestLog {
  private static final EventLog EVENTS = EventLog.of(RequestLog.class);
  private static final String NO_ENGINE = "";

  /** The failure of an attempt that an engine answered with an error. */
  static final String ERROR_RESPONSE = "error_response";

  /**
   * Details of a served request.
   *
   * @param routesVersion the version of the route table that the request was matched with
   * @param headEngineId the engine whose head the caller got
   * @param status the status that the caller got
   * @param engineId the engine that completed the response
   * @param softwareVersion the software version of that engine
   * @param estimatedLoad the engine's estimated load when it was chosen
   * @param loadAgeMs the age of the load report behind that estimate
   * @param msPerEvent the engine's mean time per event, as measured by this gateway
   * @param waitedMs how long the request was queued in this gateway
   * @param timeToFirstByteMs the time from the request's arrival to the start of the response
   * @param totalMs the time from the request's arrival to the end of the response
   * @param lastEvent the id of the last event delivered
   */
  record Served(
      long routesVersion,
      String headEngineId,
      int status,
      String engineId,
      String softwareVersion,
      double estimatedLoad,
      long loadAgeMs,
      double msPerEvent,
      long waitedMs,
      long timeToFirstByteMs,
      long totalMs,
      long lastEvent) {
    static Served by(
        AttemptTracker attempt,
        CallerResponse response,
        long routesVersion,
        long waitedMs,
        long totalMs) {
      return new Served(
          routesVersion,
          response.headEngineId(),
          response.status(),
          attempt.engine().instance().id(),
          attempt.engine().instance().softwareVersion(),
          attempt.estimatedLoad(),
          attempt.loadAgeMs(),
          attempt.engine().pace().msPerEvent(),
          waitedMs,
          response.timeToFirstByteMs(),
          totalMs,
          response.lastEventId());
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

  private void log(EventCode code, Object... fields) {
    EVENTS.log(code, join(new Object[] {"request", requestId}, fields));
  }

  private void logWithRoute(EventCode code, Object... fields) {
    log(code, join(new Object[] {"route", route}, fields));
  }

  private static Object[] join(Object[] first, Object[] second) {
    Object[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  void served(Served served) {
    logWithRoute(
        EventCode.REQUEST_SERVED,
        "routes_version",
        served.routesVersion(),
        "status",
        served.status(),
        "head_engine",
        served.headEngineId(),
        "engine",
        served.engineId(),
        "software_version",
        served.softwareVersion(),
        "load",
        String.format(Locale.ROOT, "%.1f", served.estimatedLoad()),
        "load_age_ms",
        served.loadAgeMs(),
        "event_ms",
        String.format(Locale.ROOT, "%.1f", served.msPerEvent()),
        "sends",
        budget.sends(),
        "waited_ms",
        served.waitedMs(),
        "first_ms",
        served.timeToFirstByteMs(),
        "total_ms",
        served.totalMs(),
        "last_event",
        served.lastEvent());
  }

  void refused(String reason, long waitedMs) {
    logWithRoute(
        EventCode.REQUEST_REFUSED,
        "reason",
        reason,
        "sends",
        budget.sends(),
        "waited_ms",
        waitedMs);
  }

  /** Logs a request whose caller gets an error of the gateway with this status. */
  void failed(String reason, int status) {
    logWithRoute(
        EventCode.REQUEST_FAILED, "reason", reason, "status", status, "sends", budget.sends());
  }

  /** Logs a request whose response is broken off. */
  void brokenOff(String reason, CallerResponse response) {
    logWithRoute(
        EventCode.REQUEST_FAILED,
        "reason",
        reason,
        "head_engine",
        response.headEngineId(),
        "after_event",
        response.lastEventId(),
        "sends",
        budget.sends());
  }

  /** Logs a failed attempt; {@code afterEvent} is the last event that the caller got. */
  void attemptFailed(Attempt attempt, String failure, String reason, long afterEvent) {
    log(
        EventCode.ATTEMPT_FAILED,
        "engine",
        attempt.engine().instance().id(),
        "failure",
        failure,
        "reason",
        reason,
        "status",
        attempt.status(),
        "resumed_after",
        attempt.resumedAfter(),
        "after_event",
        afterEvent);
  }

  /**
   * Logs that a stream goes on after an event.
   *
   * @param begunAt the software version that began the stream; empty if it is not known
   * @param engine the engine at which the stream goes on
   */
  void streamResumed(
      CallerRequest.Routed request, String begunAt, long afterEvent, EngineInstance engine) {
    log(
        EventCode.STREAM_RESUMED,
        "resumes",
        request.resumedRequestId(),
        "begun_at",
        begunAt,
        "after",
        afterEvent,
        "engine",
        engine.id(),
        "software_version",
        engine.softwareVersion());
  }

  /** Logs a caller that left; {@code engine} is the one that it waited for, or null if none. */
  void callerLeft(EngineState engine, long afterEvent, long totalMs) {
    logWithRoute(
        EventCode.CALLER_LEFT,
        "engine",
        engine == null ? NO_ENGINE : engine.instance().id(),
        "after_event",
        afterEvent,
        "total_ms",
        totalMs,
        "sends",
        budget.sends());
  }

  void callerTooSlow() {
    log(EventCode.CALLER_TOO_SLOW);
  }
}
