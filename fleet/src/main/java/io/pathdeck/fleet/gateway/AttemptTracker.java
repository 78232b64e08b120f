package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.StreamTiming;

/**
 * Tracks one attempt and reports its progress to the engine's state; confined to the event loop.
 */
final class AttemptTracker {
  private static final long NOT_RECEIVED = -1;

  private final EngineState engine;
  private final long prefillTokens;
  private final double estimatedLoad;
  private final long loadAgeMs;
  private final long sentMs;
  private final StreamTiming streamTiming = new StreamTiming();
  private boolean prefillDone;
  private long firstBytesMs = NOT_RECEIVED;

  AttemptTracker(Placement placement, long nowMs) {
    this.engine = placement.engine();
    this.prefillTokens = placement.prefillTokens();
    this.estimatedLoad = engine.estimatedLoad(nowMs);
    this.loadAgeMs = engine.loadReportAgeMs(nowMs);
    this.sentMs = nowMs;
  }

  EngineState engine() {
    return engine;
  }

  /** Returns the engine's estimated load when it was chosen. */
  double estimatedLoad() {
    return estimatedLoad;
  }

  /** Returns the age of the engine's load report when the engine was chosen. */
  long loadAgeMs() {
    return loadAgeMs;
  }

  /** Returns whether the engine was estimated to have a free slot when it was chosen. */
  boolean hadFreeSlot() {
    return estimatedLoad < engine.instance().slots();
  }

  void begin() {
    engine.onStart(sentMs);
    engine.onPromptSent(prefillTokens);
  }

  void onDataReceived(long nowMs) {
    recordPrefillDone();
    engine.onDataReceived(nowMs);
  }

  /** Records the head of the response, which may tell how long the engine is cold. */
  long onHead(long prefillTokensPerMs, EngineResponse head, long nowMs) {
    if (head.tellsColdTime() && !head.wrongInstance()) {
      engine.onColdTold(head.coldLeftMs(), nowMs);
    }
    return onFirstBytes(prefillTokensPerMs, head.load(), nowMs);
  }

  /**
   * Records the start of the response. Returns how long the request waited at the engine, excluding
   * the estimated time to process its prompt.
   */
  long onFirstBytes(long prefillTokensPerMs, EngineLoadReport report, long nowMs) {
    firstBytesMs = nowMs;
    long prefillMs = prefillTokens / prefillTokensPerMs;
    long waitMs = Math.max(0, nowMs - sentMs - prefillMs);
    engine.onFirstBytes(waitMs, nowMs);
    if (report != null) {
      engine.onLoadReport(report, nowMs);
    }
    return waitMs;
  }

  /** Returns the time since the request was sent. */
  long ageMs(long nowMs) {
    return nowMs - sentMs;
  }

  /** Returns the time from sending the request to the first bytes. */
  long timeToFirstByteMs() {
    return firstBytesMs - sentMs;
  }

  /** Returns whether the response has started. */
  boolean hasResponse() {
    return firstBytesMs != NOT_RECEIVED;
  }

  /** Returns the time since the response started. */
  long responseAgeMs(long nowMs) {
    return nowMs - firstBytesMs;
  }

  /** Records that the stream event with the id {@code event} has arrived. */
  void onEvent(long event, long nowMs) {
    streamTiming.onEvent(event, nowMs);
  }

  /** Updates the engine's pace from the event times of a completed stream. */
  void onStreamCompleted(long nowMs) {
    engine.pace().onStream(streamTiming.eventsAfterFirst(), streamTiming.spanMs(), nowMs);
  }

  void end() {
    recordPrefillDone();
    engine.onEnd();
  }

  private void recordPrefillDone() {
    if (!prefillDone) {
      prefillDone = true;
      engine.onPrefillDone(prefillTokens);
    }
  }
}
