package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.StreamTiming;

/**
 * Tracks one attempt and reports its progress to the engine's state; confined to the event loop.
 */
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
    this.loadAgeMs = engine.loadAgeMs(nowMs);
    this.sentMs = nowMs;
  }

  EngineState engine() {
    return engine;
  }

  /** Returns the engine's estimated load when it was chosen. */
  double estimatedLoad() {
    return estimatedLoad;
  }

  /** Returns the age of the load report at that time. */
  long loadAgeMs() {
    return loadAgeMs;
  }

  /** Returns whether the engine was estimated to have a free slot when it was chosen. */
  boolean hadFreeSlot() {
    return estimatedLoad < engine.instance().slots();
  }

  void begin() {
    engine.onStart(sentMs);
    engine.onPromptSent(tokensToRead);
  }

  void onDataReceived(long nowMs) {
    recordPromptRead();
    engine.onDataReceived(nowMs);
  }

  /**
   * Records the start of the response; returns how long the request waited, without the time to
   * read its prompt.
   */
  long onFirstBytes(long prefillTokensPerMs, EngineLoadReport report, long nowMs) {
    firstBytesMs = nowMs;
    long prefillMs = tokensToRead / prefillTokensPerMs;
    long waitMs = Math.max(0, nowMs - sentMs - prefillMs);
    engine.onFirstBytes(waitMs, nowMs);
    if (report != null) {
      engine.onLoadReport(report, nowMs);
    }
    return waitMs;
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
  long respondingMs(long nowMs) {
    return nowMs - firstBytesMs;
  }

  /** Records that a stream has reached {@code event}. */
  void onEvent(long event, long nowMs) {
    eventTimes.onEvent(event, nowMs);
  }

  /** Records a completed stream, whose event times show the engine's pace. */
  void onStreamCompleted(long nowMs) {
    engine.pace().onStream(eventTimes.eventsAfterFirst(), eventTimes.spanMs(), nowMs);
  }

  void end() {
    recordPromptRead();
    engine.onEnd();
  }

  private void recordPromptRead() {
    if (!promptRead) {
      promptRead = true;
      engine.onPrefillDone(tokensToRead);
    }
  }
}
