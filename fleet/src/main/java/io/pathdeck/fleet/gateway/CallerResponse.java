package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.serving.http.HttpExchange;

/**
 * The successful response to a caller; confined to the event loop.
 *
 * <p>A stream has the head of the engine that sends its first event, or that completes it without
 * events. Until then the caller gets nothing, so the response of another engine, or an error, is
 * still possible.
 */
final class CallerResponse {
  private static final String NO_ENGINE = "";

  private final HttpExchange exchange;
  private final long startMs;
  private String headEngineId = NO_ENGINE;
  private EngineResponse head;
  private long timeToFirstByteMs;
  private long lastEventId;

  /**
   * Creates a response that has not begun.
   *
   * @param startMs when the request arrived
   * @param resumeAfter id of the event before the first one; -1 if none
   */
  CallerResponse(HttpExchange exchange, long startMs, long resumeAfter) {
    this.exchange = exchange;
    this.startMs = startMs;
    this.lastEventId = resumeAfter;
  }

  boolean hasBegun() {
    return head != null;
  }

  /** Whether another engine may go on: after the last event, or from the start if none was sent. */
  boolean mayGoOn() {
    return !hasBegun() || lastEventId >= 0;
  }

  /** Id of the last event that the caller got; -1 if none. */
  long lastEventId() {
    return lastEventId;
  }

  /** The engine whose head the caller got; empty before that. */
  String headEngineId() {
    return headEngineId;
  }

  /** The status that the caller got; 0 before that. */
  int status() {
    return hasBegun() ? head.status() : 0;
  }

  /** The time from the request's arrival to the head. */
  long timeToFirstByteMs() {
    return timeToFirstByteMs;
  }

  /** Takes an engine's head, unless the response has begun. */
  void takeHead(EngineState engine, EngineResponse engineHead, long nowMs) {
    if (!hasBegun()) {
      head = engineHead;
      headEngineId = engine.instance().id();
      timeToFirstByteMs = nowMs - startMs;
    }
  }

  /** Sends a whole response with the head that was taken. */
  void send(byte[] body) {
    exchange.send(head.status(), head.headers(), body);
  }

  /** Sends the head that was taken; the events of the stream follow. */
  private void startStream() {
    if (!exchange.isStreaming()) {
      exchange.startStream(head.status(), head.headers());
    }
  }

  /** Sends events, the last one with this id; returns false if the caller reads too slowly. */
  boolean write(byte[] events, long newLastEventId) {
    startStream();
    lastEventId = newLastEventId;
    return events.length == 0 || exchange.write(events);
  }

  void endStream() {
    exchange.endStream();
  }
}
