package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.StreamTiming;

/** What one send of a request teaches about its engine; confined to the event loop. */
final class AttemptTracker {
  private static final long NOT_RECEIVED = -1;

  private final EngineState engine;
  private final long tokensToRead;
  private final double estimatedLoad;
  private final long loadAgeMs;
  private final long sentMs;
  private final StreamTiming eventTimes = new StreamTiming();
  private boolean promptRead;
  private long firstBytesMs = NOT_RECEIVED;

  AttemptTracker(Placement placement, long nowMs) {
    this.engine = placement.engine();
    this.tokensToRead = placement.prefillTokens();
    this.estimatedLoad = engine.estimatedLoad(nowMs);
    this.loadAgeMs = engine.loadReportAgeMs(nowMs);
    this.sentMs = nowMs;
  }

  EngineState engine() {
    return engine;
  }

  /** The load at the choice, as it was believed. */
  double estimatedLoad() {
    return estimatedLoad;
  }

  /** How old that belief was. */
  long loadAgeMs() {
    return loadAgeMs;
  }

  /** Whether the engine was believed to have a free place at the choice. */
  boolean hadFreeSlot() {
    return estimatedLoad < engine.instance().slots();
  }

  void begin() {
    engine.onStart(sentMs);
    engine.onPromptSent(tokensToRead);
  }

  void onDataReceived(long nowMs) {
    notePromptRead();
    engine.onDataReceived(nowMs);
  }

  /** The answer began; returns how long the request waited beyond the reading of its prompt. */
  long onFirstBytes(long tokensReadPerMs, EngineLoadReport load, long nowMs) {
    firstBytesMs = nowMs;
    long readingMs = tokensToRead / tokensReadPerMs;
    long waitMs = Math.max(0, nowMs - sentMs - readingMs);
    engine.onFirstBytes(waitMs, nowMs);
    if (load != null) {
      engine.onLoadReport(load, nowMs);
    }
    return waitMs;
  }

  /** How long the first bytes took after the send. */
  long timeToFirstByteMs() {
    return firstBytesMs - sentMs;
  }

  /** Whether the answer began. */
  boolean hasResponse() {
    return firstBytesMs != NOT_RECEIVED;
  }

  /** For how long the answer has been coming. */
  long respondingMs(long nowMs) {
    return nowMs - firstBytesMs;
  }

  /** A stream has come to {@code event}. */
  void onEvent(long event, long nowMs) {
    eventTimes.onEvent(event, nowMs);
  }

  /** A stream has ended well: its events show the engine's pace. */
  void onStreamCompleted(long nowMs) {
    engine.pace().onStream(eventTimes.eventsAfterFirst(), eventTimes.spanMs(), nowMs);
  }

  void end() {
    notePromptRead();
    engine.onEnd();
  }

  private void notePromptRead() {
    if (!promptRead) {
      promptRead = true;
      engine.onPrefillDone(tokensToRead);
    }
  }
}
